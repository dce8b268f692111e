#!/usr/bin/env python3
"""A crowd of clients that don't behave, and checks of the processes that it meets.

  crowd.py KIND --address IP:PORT --front IP:PORT --control IP:PORT
           --watch IP=PID,... [--connections N]

Opens N connections to one listener at once, without a pause, and keeps them open.
KIND is what they send:

  partial    a body of legal size up to its last byte
  chunked    the same, in chunks
  trickle    a body of legal size, half of it at once and the rest byte by byte
  heads      a head that does not end
  whole      complete requests with a body of legal size
  ahead      requests at paths that no route has, without reading an answer
  answers    requests with large answers, without reading any
  http2      streams of HTTP/2 with bodies that do not end
  idle       nothing
  jobs       valid jobs, each with the longest spec
  churn      the same, each of which is cancelled at once
  steps      valid jobs of legal size, of many steps
  targets    announcements, each of another target
  endless    targets of the crowd, whose answers stop short of their last byte; the
             address is only that of the ordinary request
  frames     frames of the bus, short of their last byte
  long-frames  the same, of the largest size that the bus takes
  parts      complete frames of the bus, of a message that does not end
  flood      complete messages of the bus without a byte

Then it sends one ordinary request to the same listener, and, when the connections
are closed, another one. Prints whether the processes live, and whether the memory of
each (resident, and unread bytes of its connections) and its descriptors stayed within
the bounds, and whether the requests were answered. --figures prints what was measured.
"""
import argparse
import collections
import errno
import json
import os
import selectors
import socket
import struct
import sys
import threading
import time

BODY_BYTES = 262144   # the largest body that the platform's limits allow
HEAD_BYTES = 300000   # of a head that does not end
SPEC_BYTES = 4000
BUS_FRAME_BYTES = 4 << 20
BUS_PARTS = 64
ANSWER_BYTES = 4 << 20
AHEAD_REQUESTS = 20000
CONNECT_S = 3.0
CROWD_S = 8.0         # at most, for what the crowd sends
QUIET_S = 1.0         # without any progress, the crowd is done
SAMPLE_S = 0.02
PROBES = 20
PROBE_PAUSE_S = 0.25
PROBE_TIMEOUT_S = 3.0
KEY = "Host: shop.example\r\nAuthorization: Bearer key-shops\r\n"


def head(method, path, fields):
    return ("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, fields)).encode()


def job(number, spec, steps):
    """A valid job that no target can run, as none is so large."""
    body = json.dumps({"spec": spec, "steps": [
        {"count": 1, "cpu": 4000000, "mem_mb": 1} for _ in range(steps)]})
    return body, "/batches/%016x" % (0xc0000000 + number)


def padded_job(number):
    """A valid job of legal size."""
    body, path = job(number, "x" * SPEC_BYTES, 60)
    return body + " " * (BODY_BYTES - len(body)), path


def post(body, path):
    fields = KEY + "Content-Length: %d\r\n" % len(body)
    return head("POST", path, fields) + body.encode()


def announcement(number, address=""):
    """Of a target of its own, by default at an address that nobody listens on."""
    body = json.dumps({
        "service": "store", "address": address or "127.0.%d.%d:9" % (
            20 + number // 250, 1 + number % 250), "zone": "z1",
        "version": "v1", "slots": 8, "state": "ready", "sequence": 1,
        "capacity": {"cpu": 1000, "mem_mb": 64, "gpu": 0}, "labels": []})
    return head("PUT", "/filbertpath/instances/i-%d" % number,
                "Host: a\r\nContent-Length: %d\r\n" % len(body)) + body.encode()


def serve_endless(server):
    """Answers each request with a body of the largest size less its last byte."""
    answer = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES)
    answer += b" " * (ANSWER_BYTES - 1)

    def serve(client):
        try:
            while client.recv(65536):
                client.sendall(answer)
        except OSError:
            pass

    while True:
        try:
            client, _ = server.accept()
        except OSError:
            return
        threading.Thread(target=serve, args=(client,), daemon=True).start()


def run_endless(options):
    """Announces as many targets as there are connections, and serves them."""
    port = parse_address(options.address)[1]
    for i in range(options.connections):
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.30.%d" % (1 + i), port))
        server.listen(64)
        threading.Thread(target=serve_endless, args=(server,),
                         daemon=True).start()
        target = announcement(i, "127.0.30.%d:%d" % (1 + i, port))
        for _ in range(PROBES):
            if send_request(options.address, target) == 200:
                break
            time.sleep(PROBE_PAUSE_S)
    time.sleep(CROWD_S / 2)
    return []


def frames(kind, payload, stream, flags=0):
    return struct.pack(">I", len(payload))[1:] + struct.pack(
        ">BBI", kind, flags, stream) + payload


def http2():
    """The preface, and as many streams with data as the windows allow."""
    # HPACK: POST, http, /, and a literal authority.
    fields = b"\x83\x86\x84\x41\x01a"
    data = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frames(4, b"", 0)
    for i in range(100):
        data += frames(1, fields, 2 * i + 1, 4)
        data += frames(0, b"x" * 16000, 2 * i + 1)
    return data


def bus_handshake():
    """The greeting of ZMTP 3.0 with mechanism NULL, and READY."""
    greeting = b"\xff" + b"\0" * 8 + b"\x7f\x03\0NULL" + b"\0" * 48
    ready = b"\x05READY\x0bSocket-Type\0\0\0\x06DEALER"
    return greeting + b"\x04" + bytes([len(ready)]) + ready


def bus_frame(frame_bytes, more=False):
    """A long frame."""
    return (b"\x03" if more else b"\x02") + struct.pack(
        ">Q", frame_bytes) + b"x" * frame_bytes


def bus_payload(kind):
    if kind == "flood":
        return bus_handshake() + b"\0\0" * (BUS_FRAME_BYTES // 2)
    if kind == "parts":
        return bus_handshake() + bus_frame(
            BUS_FRAME_BYTES // BUS_PARTS, True) * BUS_PARTS
    return bus_handshake() + bus_frame(
        BODY_BYTES if kind == "frames" else BUS_FRAME_BYTES)[:-1]


def payloads(kind, path, connections):
    """What each connection sends: for each a list of parts, the next of which is sent
    when the one before has been answered (reading) or written."""
    if kind == "partial":
        data = post("x" * BODY_BYTES, path)[:-1]
        return [[data]] * connections
    if kind == "trickle":
        data = post("x" * BODY_BYTES, path)
        return [[data[:BODY_BYTES // 2]] + [b"x"] * 1000] * connections
    if kind == "chunked":
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        data = head("POST", path, KEY + "Transfer-Encoding: chunked\r\n")
        return [[data + chunk * (BODY_BYTES // 0x4000 - 1) +
                 chunk[:-3]]] * connections
    if kind == "heads":
        data = head("GET", path, KEY)[:-2]
        line = b"X-Filler: " + b"y" * 4000 + b"\r\n"
        return [[data + line * (HEAD_BYTES // len(line))]] * connections
    if kind == "whole":
        return [[post("x" * BODY_BYTES, path)]] * connections
    if kind == "ahead":
        return [[head("GET", "/no/such/path", KEY) *
                 AHEAD_REQUESTS]] * connections
    if kind == "answers":
        return [[head("GET", path, KEY) * 200]] * connections
    if kind == "http2":
        return [[http2()]] * connections
    if kind == "idle":
        return [[]] * connections
    if kind == "jobs":
        spec = "x" * SPEC_BYTES
        return [[post(*job(i * 1000 + k, spec, 1)) for k in range(6000 // 50)]
                for i in range(connections)]
    if kind == "churn":
        spec = "x" * SPEC_BYTES
        return [[part for k in range(8000 // connections)
                 for body, path in [job(i * 1000 + k, spec, 1)]
                 for part in (post(body, path), head("DELETE", path, KEY))]
                for i in range(connections)]
    if kind == "steps":
        return [[post(*padded_job(i))] for i in range(connections)]
    if kind == "targets":
        return [[announcement(i * 400 + k) for k in range(400)]
                for i in range(connections)]
    return [[bus_payload(kind)]] * connections


class Connection:
    """reads: whether it sends the next part once an answer has come."""

    def __init__(self, address, parts, reads):
        self.parts = collections.deque(parts)
        self.unsent = memoryview(b"")
        self.reads = reads
        self.waits = False
        self.statuses = []
        self.retry_after = True
        self.socket = socket.socket()
        self.socket.setblocking(False)
        try:
            self.socket.connect(address)
        except BlockingIOError:
            pass

    def events(self):
        wants_write = not self.waits and (self.unsent or self.parts)
        return (selectors.EVENT_WRITE if wants_write else 0) | (
            selectors.EVENT_READ if self.reads else 0)

    def read(self):
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionResetError
        self.waits = False
        if data.startswith(b"HTTP/1.1 "):
            status = int(data[9:12])
            self.statuses.append(status)
            if status in (429, 503) and b"retry-after:" not in data.lower():
                self.retry_after = False

    def write(self):
        if not self.unsent and self.parts:
            self.unsent = memoryview(self.parts.popleft())
        sent = self.socket.send(self.unsent)
        self.unsent = self.unsent[sent:]
        self.waits = self.reads and not self.unsent


class Watch:
    """Samples memory and descriptors of processes, named by their addresses."""

    def __init__(self, processes):
        self.processes = processes  # address to PID
        self.peak_kb = {name: 0 for name in processes}
        self.peak_unread = {name: 0 for name in processes}
        self.peak_fds = {name: 0 for name in processes}
        self.done = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def sockets(self, pid):
        """The inodes of a process's sockets, and the number of its descriptors."""
        folder = "/proc/%d/fd" % pid
        inodes = set()
        names = os.listdir(folder)
        for name in names:
            try:
                target = os.readlink(os.path.join(folder, name))
            except OSError:
                continue  # closed meanwhile
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        return inodes, len(names)

    def unread_bytes(self, inodes):
        """Of connections, or of those that wait to be accepted."""
        unread = dict.fromkeys(self.processes, 0)
        listeners = {}
        with open("/proc/net/tcp", encoding="ascii") as table:
            rows = [line.split() for line in table.readlines()[1:]]
        for name in inodes:
            for row in rows:
                if row[3] == "0A" and row[9] in inodes[name]:
                    listeners[row[1]] = name
        for row in rows:
            owner = [name for name in inodes if row[9] in inodes[name]]
            if row[9] == "0" and row[1] in listeners:
                owner = [listeners[row[1]]]
            if owner and row[3] != "0A":
                unread[owner[0]] += int(row[4].split(":")[1], 16)
        return unread

    def sample(self):
        inodes = {}
        for name, pid in self.processes.items():
            try:
                inodes[name], fds = self.sockets(pid)
            except OSError:
                continue  # gone
            self.peak_fds[name] = max(self.peak_fds[name], fds)
        unread = self.unread_bytes(inodes)
        for name, pid in self.processes.items():
            try:
                with open("/proc/%d/status" % pid, encoding="ascii") as status:
                    values = dict(line.split(":", 1) for line in status)
            except OSError:
                continue
            if "VmRSS" not in values:
                continue
            total_kb = int(values["VmRSS"].split()[0]) + unread[name] // 1024
            self.peak_kb[name] = max(self.peak_kb[name], total_kb,
                                     int(values["VmHWM"].split()[0]))
            self.peak_unread[name] = max(self.peak_unread[name], unread[name])

    def run(self):
        while not self.done:
            self.sample()
            time.sleep(SAMPLE_S)

    def stop(self):
        self.done = True
        self.thread.join()
        self.sample()

    def lives(self, pid):
        try:
            with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
                return stat.read().rsplit(")", 1)[1].split()[0] != "Z"
        except OSError:
            return False


def parse_address(text):
    host, port = text.split(":")
    return host, int(port)


def run_crowd(options, path):
    """Returns the open connections and what came of each."""
    selector = selectors.DefaultSelector()
    connections = []
    open_count = 0
    reads = options.kind in ("whole", "jobs", "churn", "steps", "targets",
                             "trickle")
    for parts in payloads(options.kind, path, options.connections):
        connection = Connection(parse_address(options.address), parts, reads)
        connections.append(connection)
        selector.register(connection.socket, selectors.EVENT_WRITE, connection)
        open_count += 1
    started = moved = time.monotonic()
    while (open_count > 0 and time.monotonic() < moved + QUIET_S and
           time.monotonic() < started + CROWD_S):
        for key, events in selector.select(0.1):
            connection = key.data
            try:
                if events & selectors.EVENT_READ:
                    connection.read()
                if events & selectors.EVENT_WRITE and (
                        connection.unsent or connection.parts):
                    connection.write()
                moved = time.monotonic()
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno == errno.EPIPE:
                    connection.statuses.append("closed")
                selector.unregister(connection.socket)
                connection.socket.close()
                open_count -= 1
                continue
            if options.kind == "trickle" and not connection.unsent:
                connection.waits = False
            wanted = connection.events()
            if wanted:
                selector.modify(connection.socket, wanted, connection)
            else:
                selector.unregister(connection.socket)
    return connections


def send_request(address, data):
    """Returns the status of one request on a connection of its own; 0: none."""
    try:
        with socket.create_connection(parse_address(address),
                                      CONNECT_S) as client:
            client.settimeout(PROBE_TIMEOUT_S)
            client.sendall(data)
            answer = client.recv(65536)
    except OSError:
        return 0
    return int(answer[9:12]) if answer.startswith(b"HTTP/1.1 ") else 0


def ordinary_request(options, number):
    """A request that the listener is there for."""
    port = parse_address(options.address)[1]
    target = {"service": "store", "address": "127.0.0.9:%d" % port,
              "zone": "z1", "version": "v1", "slots": 1, "state": "ready",
              "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0}, "labels": [],
              "sequence": number}
    body = json.dumps(target)
    return {
        "clients": (options.front, post(*job(900000 + number, "x", 1))),
        "control": (options.address, head(
            "PUT", "/filbertpath/instances/i-ordinary",
            "Host: a\r\nContent-Length: %d\r\n" % len(body)) + body.encode()),
        "readiness": (options.address, head("GET", "/filbertpath/readiness",
                                            "Host: a\r\n")),
        "metrics": (options.address, head("GET", "/metrics", "Host: a\r\n")),
        "cell": (options.address, head("GET", "/healthz", "Host: a\r\n")),
        "bus": (options.front, post(*job(900000 + number, "x", 1))),
    }[options.listener]


def is_answered(options, number):
    address, data = ordinary_request(options, number)
    for _ in range(PROBES):
        # Accepted, or refused for what the job crowds have filled.
        status = send_request(address, data)
        if status == 200 or (status in (429, 503) and options.kind in (
                "jobs", "churn", "steps") and options.listener == "clients"):
            return True
        time.sleep(PROBE_PAUSE_S)
    return False


def grow_config(options):
    """Makes the configuration large, for crowds that read it."""
    routes = [{"name": "r%d" % i, "host": "shop.example",
               "path_prefix": "/more%d/" % i, "type": "unsafe",
               "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
               "service": "store", "max_attempts": 3, "stretch": 1.5,
               "allow_anonymous": False} for i in range(1000)]
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    import standin  # noqa: E402 pylint: disable=import-outside-toplevel
    body = json.dumps(dict(standin.CONFIG, version=2,
                           routes=standin.CONFIG["routes"] + routes))
    data = head("PUT", "/filbertpath/config",
                "Host: a\r\nContent-Length: %d\r\n" % len(body))
    for _ in range(PROBES):
        if send_request(options.control, data + body.encode()) == 200:
            return
        time.sleep(PROBE_PAUSE_S)
    print("not configured")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("kind")
    parser.add_argument("--address", required=True)
    parser.add_argument("--listener", default="clients",
                        choices=["clients", "control", "readiness", "metrics",
                                 "bus", "cell"])
    parser.add_argument("--front", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--watch", required=True)
    parser.add_argument("--connections", type=int, default=300)
    parser.add_argument("--memory-mb", type=int, default=64)
    parser.add_argument("--max-fds", type=int, default=400)
    parser.add_argument("--ignore-memory", action="store_true",
                        help="of a build whose checks take memory themselves")
    parser.add_argument("--figures", action="store_true")
    options = parser.parse_args()
    path = {"clients": "/batches/00000000000000aa",
            "control": "/filbertpath/config",
            "readiness": "/filbertpath/readiness", "metrics": "/dump",
            "bus": "/", "cell": "/healthz"}[options.listener]
    processes = {name: int(pid) for name, pid in (
        item.split("=") for item in options.watch.split(","))}
    if options.kind == "answers" and options.listener == "control":
        grow_config(options)
    watch = Watch(processes)
    connections = (run_endless(options) if options.kind == "endless" else
                   run_crowd(options, path))
    beside = is_answered(options, 1)
    for connection in connections:
        connection.socket.close()
    time.sleep(0.5)
    after = is_answered(options, 2)
    watch.stop()
    statuses = collections.Counter(
        status for connection in connections for status in connection.statuses)
    dead = [name for name, pid in processes.items() if not watch.lives(pid)]
    heavy = ["%s %.1f MB" % (name, kb / 1024) for name, kb in
             watch.peak_kb.items() if kb > options.memory_mb * 1024]
    many = ["%s %d" % (name, fds) for name, fds in watch.peak_fds.items()
            if fds > options.max_fds]
    checks = [("every process lives", dead),
              ("memory is within the bounds",
               [] if options.ignore_memory else heavy),
              ("descriptors are within the bounds", many),
              ("an ordinary request is answered beside the crowd",
               [] if beside else ["none"]),
              ("and after it", [] if after else ["none"])]
    if options.kind in ("jobs", "churn", "steps"):
        checks.append(("a refused job gets a time to come back", [
            "without" for connection in connections
            if not connection.retry_after]))
    for text, failures in checks:
        print(text if not failures else "FAILED: %s: %s" % (
            text, ", ".join(failures)))
    if options.figures:
        print("statuses", dict(statuses))
        for name in processes:
            print("%s peak %.1f MB, unread %.1f MB, descriptors %d" % (
                name, watch.peak_kb[name] / 1024,
                watch.peak_unread[name] / 1048576, watch.peak_fds[name]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
