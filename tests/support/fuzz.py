"""Fuzzes the HiveServer2 frontends: python tests/support/fuzz.py SECONDS [SEED]; not collected by pytest.

Valid calls over every transport and HTTP are corrupted (bytes flipped, cut, doubled, lengths changed) and
sent in pieces to a frontend in virtual time. After each round of 300 inputs the frontend must have no
connections, sessions or operations left, no task may have failed, and a valid client must be served.
Corrupted messages are also given directly to codec and transports. Prints the number of inputs and the
resident memory while running; exits with status 1 at the first failure.
"""

import search_paths  # noqa: F401 - for a script that is run directly

# isort: split

import sys
import time
from random import Random

from fleet import Fleet, HttpClient, execute, outcome

from fennelwind.benchmarks.path import resident_mb
from fennelwind.loop import SimLoop, StreamReset
from fennelwind.thrift import hiveserver2 as hs2
from fennelwind.thrift.codec import ThriftError
from fennelwind.thrift.messages import CALL, REPLY, write_message
from fennelwind.thrift.transport import ClientSide, ServerSide

INPUTS_PER_ROUND = 300
HTTP_HEADERS = (
    b"POST /cliservice HTTP/1.1\r\nHost: x\r\nAuthorization: Basic YTpi\r\nContent-Length: %d\r\n\r\n"
)


def calls():
    handle = hs2.TOperationHandle(hs2.THandleIdentifier(b"g" * 16, b"s" * 16), 0, True)
    session = hs2.TSessionHandle(hs2.THandleIdentifier(b"g" * 16, b"s" * 16))
    made = [
        ("OpenSession", hs2.TOpenSessionReq(9, "ann", "x", {"a": "b", "set:c": "d"})),
        ("ExecuteStatement", hs2.TExecuteStatementReq(session, "select 1", {"k": "v"}, True, 5)),
        ("GetOperationStatus", hs2.TGetOperationStatusReq(handle, True)),
        ("FetchResults", hs2.TFetchResultsReq(handle, 0, 100, 0)),
        ("CloseOperation", hs2.TCloseOperationReq(handle)),
        ("GetTables", hs2.make("TGetTablesReq", sessionHandle=session, tableTypes=["T"] * 3)),
    ]
    return [write_message(name, CALL, i + 1, body, strict=i % 3 > 0) for i, (name, body) in enumerate(made)]


def corrupt(random, raw):
    raw = bytearray(raw)
    for _ in range(random.choice((0, 1, 1, 2, 5))):
        if not raw:
            break
        position = random.randrange(len(raw))
        match random.randrange(7):
            case 0:
                raw[position] ^= 1 << random.randrange(8)
            case 1:
                del raw[position : position + random.randrange(1, 9)]
            case 2:
                raw[position:position] = random.randbytes(random.randrange(1, 9))
            case 3:
                raw[position : position + 4] = random.choice(
                    (b"\xff" * 4, b"\x7f\xff\xff\xff", b"\0" * 4, b"\0\1\0\0")
                )
            case 4:
                raw[position:position] = raw[position : position + random.randrange(1, 40)]
            case 5:
                raw[position] = random.choice(b"\x0b\x0c\x0d\x0f\0\r\n:")
            case 6:
                del raw[position:]
    return bytes(raw)


def random_input(random, messages):
    """Return bytes as a client of a random transport sends them, corrupted before or after framing."""
    chosen = [random.choice(messages) for _ in range(random.randrange(1, 4))]
    chosen = [corrupt(random, m) if random.random() < 0.5 else m for m in chosen]
    transport = random.choice(("buffered", "framed", "sasl", "http", "http"))
    if transport == "http":
        raw = b"".join(HTTP_HEADERS % len(m) + m for m in chosen)
    elif transport == "buffered":
        raw = b"".join(chosen)
    else:
        raw = b"".join(len(m).to_bytes(4, "big") + m for m in chosen)
        if transport == "sasl":
            raw = bytes(ClientSide("sasl", "ann", "x").outgoing) + raw
    return transport, corrupt(random, raw) if random.random() < 0.7 else raw


def run_round(seed):
    """Run a round against a frontend; return the failures."""
    loop, random, failures = SimLoop(seed), Random(seed), []
    loop.on_error = lambda task, exc: failures.append(f"{task.name}: {exc!r}")
    messages = calls()

    def send_input(fleet):
        transport, raw = random_input(random, messages)
        front = fleet.program.http if transport == "http" else fleet.program.front
        stream = loop.connect(front.listener.address)
        try:
            while raw:
                size = random.choice((1, 7, 100, 10**6))
                stream.write(raw[:size])
                raw = raw[size:]
                loop.sleep(random.choice((0.0, 0.1, 5.0)))
            if random.random() < 0.5:
                with loop.deadline(2000):
                    while stream.read():
                        pass
        except Exception as exc:
            if not isinstance(exc, StreamReset) and type(exc).__name__ != "DeadlineExceeded":
                raise
        stream.abort() if random.random() < 0.5 else stream.close()

    def main():
        fleet = Fleet(loop, change=lambda text: text.replace("max_connections: 100", "max_connections: 900"))
        tasks = [loop.spawn(send_input, fleet, name="visit") for _ in range(INPUTS_PER_ROUND)]
        for each in tasks:
            each.join()
        loop.sleep(100_000)
        program = fleet.program
        remaining = (
            program.front.connections,
            program.http.connections,
            program.service.sessions,
            program.service.operations,
            program.driver.ledger.entries,
        )
        if any(remaining):
            failures.append(f"left behind: {[len(each) for each in remaining]}")
        for client in (fleet.client(), HttpClient(loop, fleet.program.http.listener.address)):
            if outcome(lambda c=client: execute(c, "select 1")) != "served":
                failures.append("a good client is not served")
        if fleet.seen.failures:
            failures.append(repr(fleet.seen.failures))

    loop.run(main)
    return failures


def fuzz_transports(seed):
    """Give corrupted calls and replies directly to both sides of the transports; return their number."""
    random = Random(seed)
    column = hs2.make("TStringColumn", values=[b"x"] * 9, nulls=b"")
    page = hs2.TRowSet(0, [], [hs2.TColumn(stringVal=column)])
    messages = calls() + [
        write_message("FetchResults", REPLY, 1, hs2.TFetchResultsResp(hs2.TStatus(0), False, page))
    ]
    for _ in range(1000):
        transport, raw = random_input(random, messages)
        for side in (
            ServerSide(100_000),
            ClientSide("buffered", max_message_bytes=100_000),
            ClientSide("framed", max_message_bytes=100_000),
        ):
            pos = 0
            try:
                while pos < len(raw):
                    size = random.choice((1, 5, 64, 10**6))
                    for event in side.receive(raw[pos : pos + size]):
                        repr(event)
                    pos += size
            except ThriftError:
                pass
            if side.unconsumed_bytes > 200_000:
                raise AssertionError(f"{side.unconsumed_bytes} bytes kept")
    return 1000


def main(seconds, seed):
    deadline_s, inputs, last_report_s = time.monotonic() + seconds, 0, 0.0
    while time.monotonic() < deadline_s:
        failures = run_round(seed)
        if failures:
            print(f"seed {seed}: {failures[:5]}")
            return 1
        inputs += INPUTS_PER_ROUND + fuzz_transports(seed)
        seed += 1
        if time.monotonic() - last_report_s > 60:
            last_report_s = time.monotonic()
            print(f"{inputs} inputs, {resident_mb('self'):.1f} MB", flush=True)
    print(f"{inputs} inputs, next seed {seed}, {resident_mb('self'):.1f} MB: nothing wrong")
    return 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1))
