"""TLS towards clients and engines: handshakes that fail, stall and are cut; certificates read anew."""

import ssl
from threading import Thread

import pytest
import trustme
from fleet import Fleet, HttpClient, execute, fetch, ids, outcome
from test_controller import play

from fennelwind import client, config
from fennelwind.config.tls import client_context, server_context
from fennelwind.engines.connection import EngineConnection
from fennelwind.loop import Address, RealLoop, SimLoop, StreamReset, TlsStream
from fennelwind.thrift.codec import Malformed

CA, OTHER = trustme.CA(), trustme.CA()


@pytest.fixture
def tls(tmp_path):
    """Options of a fleet with TLS on all sides."""
    issue(tmp_path, CA)
    CA.cert_pem.write_to_path(tmp_path / "ca.pem")
    return {
        "folder": tmp_path,
        "change": lambda text: text.replace(
            "http_address:", 'tls_certificate: "cert.pem" tls_key: "key.pem" http_address:'
        ).replace("links {", 'links { tls_authorities: "ca.pem" '),
    }


def issue(folder, ca):
    made = ca.issue_cert("127.0.0.1")
    made.private_key_pem.write_to_path(folder / "key.pem")
    for i, pem in enumerate(made.cert_chain_pems):
        pem.write_to_path(folder / "cert.pem", append=i > 0)


def server_side(loop, folder):
    context = server_context(folder / "cert.pem", folder / "key.pem")
    return lambda stream, who: TlsStream(loop, stream, context, server=True)


def link(fleet, folder):
    made = EngineConnection(
        fleet.loop, fleet.program.address, "sasl", "ann", client_context(folder / "ca.pem")
    )
    made.open()
    return made


@pytest.mark.parametrize("kind", [SimLoop, RealLoop])
def test_statements_and_rows_under_tls_on_both_sides(kind, tls):
    loop = RealLoop() if kind is RealLoop else SimLoop(1)

    def main(fleet):
        there = link(fleet, tls["folder"])
        for _ in range(3):
            assert len(ids(fetch(there, execute(there, "select 1", rows=900)))) == 900
        if kind is SimLoop:  # on sockets a link may be closing its last operation when the next one begins
            assert all(
                p.count == 1 for p in fleet.program.engine_client.pools.values()
            )  # links are used again
        stream = TlsStream(
            loop,
            loop.connect(fleet.program.http.listener.address),
            client_context(tls["folder"] / "ca.pem"),
            server=False,
        )
        over_http = HttpClient.__new__(HttpClient)
        over_http.loop, over_http.stream = loop, stream
        HttpClient.begin(over_http)
        assert ids(fetch(over_http, execute(over_http, "select 1", rows=2))) == [0, 1]

    play(main, loop, wrap=server_side(loop, tls["folder"]), **tls)


def test_clients_that_do_not_speak_tls_or_trust_others_harm_nobody(tls):
    loop = SimLoop(2)

    def main(fleet):
        with pytest.raises((StreamReset, Malformed)):
            fleet.client()
        OTHER.cert_pem.write_to_path(tls["folder"] / "other.pem")
        others = client_context(tls["folder"] / "other.pem")
        strange = EngineConnection(loop, fleet.program.address, "sasl", "ann", others)
        with pytest.raises(StreamReset, match="TLS"):
            strange.open()
        loop.sleep(100)
        assert fleet.program.front.unshaken == 2
        assert outcome(lambda: execute(link(fleet, tls["folder"]), "select 1")) == "served"

    play(main, loop, wrap=server_side(loop, tls["folder"]), **tls)


def test_a_handshake_that_stalls_ends_by_time_and_each_cut_is_survived(tls):
    loop = SimLoop(3)

    def main(fleet):
        hello = []
        probe = TlsStream(
            loop, loop.connect(fleet.program.address), client_context(tls["folder"] / "ca.pem"), server=False
        )
        write = probe.stream.write
        probe.stream = type(
            "Tap",
            (),
            {
                "read": probe.stream.read,
                "close": probe.stream.close,
                "peer": probe.peer,
                "write": lambda self, data, within=None: (hello.append(data), write(data))[1],
            },
        )()
        probe.handshake()
        for cut in range(0, len(hello[0]), 7):
            stream = loop.connect(fleet.program.address)
            stream.write(hello[0][:cut] if cut else b"")
            if cut % 2:
                stream.abort()
        assert outcome(lambda: execute(link(fleet, tls["folder"]), "select 1")) == "served"
        loop.sleep(6000)
        assert fleet.program.front.unshaken > 20
        assert len(fleet.program.front.connections) <= 2
        probe.stream.close()

    play(main, loop, wrap=server_side(loop, tls["folder"]), **tls)


def test_an_engine_whose_certificate_is_not_trusted_gets_nothing(tls):
    loop = SimLoop(4)
    folder = tls["folder"]

    def main(fleet):
        OTHER.cert_pem.write_to_path(folder / "ca2.pem")
        there = link(fleet, folder)
        assert outcome(lambda: execute(there, "load 1")) == "53000"  # proven never to have run
        assert {a[3] for a in fleet.seen.attempts} == {"connect_failed"}
        assert not any(e.counts.statements for e in fleet.engines)

    made = OTHER.issue_cert("127.0.0.1")
    (folder / "engine").mkdir()
    made.private_key_pem.write_to_path(folder / "engine" / "key.pem")
    made.cert_chain_pems[0].write_to_path(folder / "engine" / "cert.pem")
    play(main, loop, wrap=server_side(loop, folder / "engine"), **tls)


def test_certificates_are_read_anew_for_new_connections_and_bad_ones_change_nothing(tls):
    loop, folder = SimLoop(5), tls["folder"]

    def main(fleet):
        before = link(fleet, folder)
        issue(folder, OTHER)
        assert fleet.program.reload_certificates() == "read"
        with pytest.raises(StreamReset):
            link(fleet, folder)
        OTHER.cert_pem.write_to_path(folder / "ca.pem")
        after = link(fleet, folder)
        (folder / "key.pem").write_text("no key", "utf-8")
        assert "as before" in fleet.program.reload_certificates()
        for there in (before, after):
            assert outcome(lambda there=there: execute(there, "select 1")) == "served"

    play(main, loop, wrap=server_side(loop, folder), **tls)


def test_settings_tell_what_is_wrong_with_certificates(tls):
    folder, found = tls["folder"], []
    text = tls["change"](Fleet.text(engines='engines { address: "127.0.0.1:1" kind: "k" }'))
    assert config.read(text, folder=folder).tls is not None
    for old, new in (
        ('tls_key: "key.pem"', ""),
        ('"key.pem"', '"none.pem"'),
        ('"key.pem"', '"ca.pem"'),
        ('tls_authorities: "ca.pem"', 'tls_authorities: "key.pem"'),
    ):
        with pytest.raises(config.SettingsError) as wrong:
            config.read(text.replace(old, new), folder=folder)
        found += [problem.text for problem in wrong.value.problems]
    assert "stated together" in found[0] and "no such file" in found[1] and len(found) == 4


def test_data_of_any_size_passes_both_ways_at_once(tls):
    loop, folder = SimLoop(6), tls["folder"]
    size, got = 700_000, {}

    def main():
        listener = loop.listen(Address("127.0.0.1", 7000))
        serve = server_side(loop, folder)
        ends = {
            "client": TlsStream(
                loop, loop.connect(listener.address), client_context(folder / "ca.pem"), server=False
            ),
            "server": serve(listener.accept(), ""),
        }

        def read(name):
            count = 0
            while count < size:
                count += len(ends[name].read())
            got[name] = count

        tasks = [loop.spawn(read, name) for name in ends]
        tasks += [loop.spawn(ends[name].write, bytes(size)) for name in ends]
        with loop.deadline(20_000):
            for task in tasks:
                task.join()
        ends["client"].close()
        with pytest.raises(StreamReset):
            ends["server"].read()

    loop.run(main)
    assert got == {"client": size, "server": size}


def test_the_client_library_speaks_tls(tls):
    loop, got = RealLoop(), []

    def main():
        with loop.deadline(20_000):
            fleet = Fleet(loop, wrap=server_side(loop, tls["folder"]), **tls)
            context = ssl.create_default_context(cafile=tls["folder"] / "ca.pem")

            def user():
                with client.connect(*fleet.program.address, user="ann", ssl_context=context) as there:
                    got.extend(there.cursor().execute("select 1").fetchall())

            thread = Thread(target=user, daemon=True)
            thread.start()
            while thread.is_alive():
                loop.sleep(5)
            fleet.program.close()

    loop.run(main)
    assert got == [(0, "row 0")]


def test_a_stalled_engine_handshake_ends_within_the_connect_time(tls):
    loop = SimLoop(7)

    def main(fleet):
        there, at = link(fleet, tls["folder"]), loop.now()
        assert outcome(lambda: execute(there, "load 1", timeout=1)) == "53000"
        assert loop.now() - at <= 1000
        assert {a[3] for a in fleet.seen.attempts} == {"connect_failed"}

    play(main, loop, wrap=lambda stream, who: Deaf(stream), **tls)


class Deaf:
    """A stream whose owner hears nothing."""

    def __init__(self, stream):
        self.stream, self.peer = stream, stream.peer
        self.close, self.abort, self.write = stream.close, stream.abort, stream.write

    def read(self, most=0):
        self.stream.loop.sleep(1e6)
