"""A toy world for one pilot, all on loopback: discovery, four endpoints, one proxy and its zone's collector.

Start it, then the pilot in another terminal:

    python examples/toy.py
    python -m ravenshelf serve --config examples/config.json

Every 20 s one endpoint is drained, removed, and comes back; one endpoint is slow. Ctrl-C ends it."""
import asyncio
import json
import random
import time

PILOT, DISCOVERY, FIRST_PORT = ("127.0.0.1", 8080), ("127.0.0.1", 8500), 9001
ENDPOINTS = {f"s-{n}": {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{FIRST_PORT + n}", "az": "north" if n < 2 else "south",
                        "model": "toy", "pod_group": 0, "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}
             for n in range(4)}
TIMES = {"s-0": 0.02, "s-1": 0.08, "s-2": 0.02, "s-3": 0.02}      # seconds that an endpoint takes to answer


class World:
    def __init__(self):
        self.rev, self.changes, self.changed = 1, [], asyncio.Condition()
        self.table, self.out, self.met = {}, set(), {}

    # --- discovery ---

    async def discovery(self, reader, writer):
        asked = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        whole = {"rev": self.rev, "all": True, "targets": list(ENDPOINTS.values())}
        if "watch=1" not in asked:
            body = json.dumps(whole).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        said, seen = json.dumps(whole), self.rev
        try:
            while True:
                text = said.encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                said = ""
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > seen), 2)
                except asyncio.TimeoutError:
                    continue            # an empty line every 2 s
                news = [entry for rev, entry in self.changes if rev > seen]
                seen, said = self.rev, json.dumps({"rev": self.rev, "all": False, "targets": news})
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def change(self, uid, state, boot_ms=0):
        async with self.changed:
            self.rev += 1
            self.changes.append((self.rev, ENDPOINTS[uid] | {"state": state, "boot_ms": boot_ms}))
            ENDPOINTS[uid].update(state=state, boot_ms=boot_ms)
            self.changed.notify_all()
        print(f"-- {uid} is now {state}")

    async def troubles(self):
        while True:
            await asyncio.sleep(20)
            uid = random.choice(list(ENDPOINTS))
            await self.change(uid, "DRAINING")
            await asyncio.sleep(4)
            await self.change(uid, "DELETED")
            await asyncio.sleep(4)
            await self.change(uid, "SERVING", time.time() * 1000)

    # --- endpoints ---

    @staticmethod
    async def endpoint(uid, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(random.expovariate(1 / TIMES[uid]))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    # --- a proxy: its stream, and the flows it sends by its table ---

    async def stream(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*PILOT)
                writer.write(b"SUBSCRIBE proxy=0 zone=north weight=40 fresh=%d\r\n" % (not self.table))
                while line := await reader.readline():
                    self.obey(line.decode(), writer)
            except ConnectionError:
                pass
            await asyncio.sleep(1)

    def obey(self, line, writer):
        print("<-", line.strip()[:150])
        said = dict(word.partition("=")[::2] for word in line.split()[1:])
        if "whole" in said:
            self.table = {}
        for pair in said.get("lines", "").split(",") if said.get("lines") else ():
            uid, _, weight = pair.partition(":")
            self.table[uid] = float(weight)
        self.table = {uid: weight for uid, weight in self.table.items() if weight}
        self.out |= set(filter(None, said.get("out", "").split(",")))
        self.out -= set(said.get("back", "").split(","))
        if "ticket" in said:
            writer.write(f"ACK proxy=0 mark={said['ticket']} took_ms=1\r\n".encode())

    async def flow(self, uid):
        began, met = time.monotonic(), self.met.setdefault(uid, [0, 0, 0.0])
        met[0] += 1
        try:
            reader, writer = await asyncio.open_connection(*ENDPOINTS[uid]["endpoint"].split(":"))
            writer.write(b"GET / HTTP/1.1\r\nHost: toy\r\n\r\n")
            if not await reader.readline():
                raise ConnectionError
            met[2] += (time.monotonic() - began) * 1000
            writer.close()
        except ConnectionError:
            met[1] += 1

    async def flows(self):
        going = set()
        while True:
            lines = {uid: weight for uid, weight in self.table.items() if uid not in self.out}
            if lines:
                task = asyncio.create_task(self.flow(random.choices(list(lines), lines.values())[0]))
                going.add(task)
                task.add_done_callback(going.discard)
            await asyncio.sleep(1 / 40)

    async def collector(self):
        while True:
            try:
                _, writer = await asyncio.open_connection(*PILOT)
                writer.write(b"SOURCE zone=north\r\n")
                while True:
                    await asyncio.sleep(1)
                    met, self.met = self.met, {}
                    tries = sum(m[0] for m in met.values())
                    print("flows a second:", {uid: m[0] for uid, m in sorted(met.items())})
                    for uid, (n, failed, took) in met.items():
                        writer.write(f"LOAD zone=north server={uid} tries={n} failed={failed} span_ms=1000 "
                                     f"mean_ms={took / max(1, n - failed):.1f} load=inflight:1\r\n".encode())
                    writer.write(f"RATE proxy=0 class=read tries={tries} failed=0 span_ms=1000\r\n".encode())
                    await writer.drain()
            except ConnectionError:
                await asyncio.sleep(1)


async def main():
    world = World()
    await asyncio.start_server(world.discovery, *DISCOVERY)
    for n, uid in enumerate(ENDPOINTS):
        await asyncio.start_server(lambda r, w, uid=uid: world.endpoint(uid, r, w), "127.0.0.1", FIRST_PORT + n)
    await asyncio.gather(world.troubles(), world.stream(), world.flows(), world.collector())


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
