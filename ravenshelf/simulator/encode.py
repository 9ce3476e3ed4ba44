"""Orders into lines of the wire."""

import base64


class Writer:
    """The decisions' writer for one instance; its lines go out in the order in which they were written."""

    def __init__(self, instance, names):
        self.i, self.names, self.out = instance, names, []

    def set_weight(self, table, endpoint, weight):
        self.out.append(f"set_line {self.i} {self.names[endpoint]} {table} {weight:.6g}")

    def clear_table(self, table):
        self.out.append(f"truncate {self.i} {table}")

    def set_ejected(self, endpoint, out):
        self.out.append(f"bench {self.i} {int(out)} {self.names[endpoint]}")

    def bind_proxy(self, proxy, table, groups=0):
        self.out.append(f"subscribe_to {self.i} {proxy} {table} {groups}")

    def set_admission_level(self, table, groups, level, tries):
        self.out.append(f"set_level {self.i} {level:.6g} {groups} {table} {tries}")

    def request_acknowledgement(self, number, everyone=False):
        self.out.append(f"mark {self.i} {number} {int(everyone)}")

    def start_timer(self, at, key):
        self.out.append(f"sleep {self.i} {at / 1000:.3f} {key}")

    def watch_endpoints(self, on):
        self.out.append(f"observe {self.i} {int(on)}")

    def fetch_endpoints(self):
        self.out.append(f"get_list {self.i}")

    def check_health(self, endpoint):
        self.out.append(f"poll {self.i} {self.names[endpoint]}")

    def send_peer_message(self, peer, octets):
        text = base64.b64encode(octets).decode() or "-"
        self.out.append(f"announce {self.i} {'*' if peer is None else peer} {text}")

    def log(self, text):
        self.out.append(f"record {self.i} {' '.join(text.split())}")

    def fault(self, text):
        self.out.append(f"exception {self.i} {' '.join(text.split())}")
