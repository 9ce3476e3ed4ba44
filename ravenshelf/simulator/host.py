"""Hosts the instances: one controller each, nothing shared between them."""

from ravenshelf.policy.controller import Controller
from ravenshelf.settings import decode_settings
from ravenshelf.simulator import decode
from ravenshelf.simulator.encode import Writer


class Instance:
    """One pilot on the wire: its controller, its endpoint names and the news of the present batch."""

    def __init__(self, number):
        self.number, self.names, self.index, self.controller, self.news = number, [], {}, None, []
        self.boot: decode.Boot | None = None

    def endpoint(self, name):
        if name not in self.index:
            if not name:
                raise ValueError("an endpoint without a name")
            self.index[name] = len(self.names)
            self.names.append(name)
        return self.index[name]


class Host:
    def __init__(self):
        self.instances = {}

    def _ids(self, i, text):
        if i not in self.instances:
            raise decode.MalformedLineError(
                f"line {text[:120]!r}: expected an instance that was booted, not {i}"
            )
        return self.instances[i].endpoint

    def batch(self, head, lines):
        """Answers one batch; `lines` gives its lines up to eob. The reply is whole or there is none."""
        v = head.split(" ")
        try:
            if len(v) != 3 or v[0] != "clock":
                raise ValueError("no head")
            now, frame = decode.micros(v[1]), int(v[2])
        except ValueError as why:
            raise decode.MalformedLineError(f"line {head[:120]!r}: expected clock t-ms frame") from why
        touched = {}
        while (text := lines()) != "eob":
            i, event = decode.event(text, self._ids, lines)
            if isinstance(event, decode.Boot):
                touched[i] = self.instances[i] = Instance(i)
                touched[i].boot = event
                continue
            self._ids(i, text)
            if isinstance(event, decode.Exit):
                del self.instances[i]
                touched.pop(i, None)
                continue
            touched[i] = self.instances[i]
            touched[i].news.append(event)
        out = []
        for instance in touched.values():
            out += self._round(now, instance)
        out.append(f"next {frame}")
        return out

    @staticmethod
    def _round(now, instance):
        news, instance.news = instance.news, []
        writer = Writer(instance.number, instance.names)
        try:
            boot, instance.boot = instance.boot, None
            if boot is not None:
                instance.controller = Controller(decode_settings(boot.settings), boot.seed)
            instance.controller.run_cycle(now, news, writer)
        except Exception as why:  # the wire asks for the cause in its own words, never for silence
            writer.out.clear()
            writer.fault(f"{type(why).__name__}: {why}")
        return writer.out
