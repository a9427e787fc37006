"""A controller put together: front, core, links and discovery on one loop."""

from typing import TYPE_CHECKING

from fennelwind import policy
from fennelwind.config import Controller
from fennelwind.config import settings_pb2 as pb
from fennelwind.config.tls import TlsError, server_context
from fennelwind.config.users import UsersError, load_users
from fennelwind.dispatch.driver import Driver
from fennelwind.dispatch.observer import Observer
from fennelwind.dispatch.types import Router
from fennelwind.engines.discovery import DiscoveryClient
from fennelwind.engines.engine_client import EngineClient
from fennelwind.frontends.hiveserver2 import Frontend
from fennelwind.frontends.hiveserver2.http import HttpFrontend
from fennelwind.frontends.hiveserver2.service import Service
from fennelwind.limits.answer_margin import AnswerMargin
from fennelwind.loop import Address, Loop
from fennelwind.observability.metrics import MetricsFront

if TYPE_CHECKING:
    from fennelwind.cluster.runtime import ClusterRuntime


class Program:
    """A running controller. `start` listens; `close` gives all that is open its final answer."""

    def __init__(self, loop: Loop, settings: Controller, observer: Observer, seed: int) -> None:
        self.loop, self.settings, self.observer = loop, settings, observer
        rules = settings.file.rules
        self.engine_client = EngineClient(
            loop, settings.file.links, settings.module.report_fields, settings.engines_tls
        )
        module, router = self._routing()
        self.driver = Driver(
            loop,
            module,
            self.engine_client,
            observer,
            seed=seed,
            max_open=settings.file.max_open,
            margin=AnswerMargin(rules.answer_margin_ms, rules.answer_margin_most_ms),
            subscribe=self._subscribe,
            router=router,
        )
        self.discovery = None
        if settings.discovery is not None:
            self.discovery = DiscoveryClient(
                loop,
                settings.discovery,
                pushed=settings.file.discovery.mode == pb.Discovery.PUSHED,
                zones=settings.zones,
                kinds=settings.kinds,
                post=self.driver.post,
                seed=seed,
                report=observer.logged,
            )
        self.service = Service(loop, settings, self.driver)
        self.keeper = self._keeper(seed) if settings.council is not None else None
        self.front: Frontend | None = None
        self.http: HttpFrontend | None = None
        self.metrics: MetricsFront | None = None

    @property
    def address(self) -> Address:
        """Where clients connect."""
        return self.front.listener.address

    def start(self) -> None:
        """Learn of the engines and where copies are, and listen for clients. Raises `OSError` if it can't."""
        self.driver.post(policy.EngineListUpdate("cached", self.settings.engines))
        self.engine_client.start()
        if self.discovery is not None:
            self.discovery.start()
        if self.keeper is not None:
            self.keeper.start()
        self.front = Frontend(self.loop, self.loop.listen(self.settings.listen), self.service)
        if self.settings.http is not None:
            self.http = HttpFrontend(self.loop, self.loop.listen(self.settings.http), self.service)
            self.http.start()
        if self.settings.metrics is not None:
            self.metrics = MetricsFront(self.loop, self.loop.listen(self.settings.metrics), self)
            self.metrics.start()
        self.service.start()
        self.front.start()

    def hand_over(self) -> None:
        """Give the fleet's tasks and the council's lead to others, within the time that the settings say."""
        if self.keeper is not None:
            self.keeper.hand_over()

    def close(self) -> None:
        """Take nothing more, answer what is open, let the answers out."""
        if self.keeper is not None:
            self.keeper.close()
        self.driver.close()
        for front in (self.front, self.http, self.metrics):
            if front is not None:
                front.close()

    def _keeper(self, seed: int) -> "ClusterRuntime":
        """Return the controller's part in the council; only here is anything of it loaded."""
        from fennelwind.cluster.identity import ClusterIdentity
        from fennelwind.cluster.runtime import ClusterRuntime
        from fennelwind.raft.messages import Timing

        c = self.settings.council
        place = ClusterIdentity(
            c.fleet,
            c.me,
            c.members,
            c.folder,
            c.listen,
            Timing(heartbeat_ms=c.heartbeat_ms, election_timeout_ms=c.election_ms),
            c.reserve_bytes,
            c.handover_ms,
        )
        keeper = ClusterRuntime(self.loop, place, seed, self.observer.council)
        keeper.serve_engines(self.engine_client, self._engines)
        self.service.gate = keeper.gate
        if self.driver.router is not None:
            self._serve_shards(keeper)
        return keeper

    def _routing(self) -> tuple[policy.Settings, Router | None]:
        """Return the module's settings, split where queries go by copies of shards, and who splits them."""
        module = self.settings.module
        if not self.settings.file.HasField("moves"):
            return module, None
        from fennelwind.quiescence.in_flight import InFlightTracker
        from fennelwind.shards.routing import MAX_SLOTS, Routing, widen

        return widen(module, MAX_SLOTS), Routing(module, MAX_SLOTS, InFlightTracker())

    def _serve_shards(self, keeper: "ClusterRuntime") -> None:
        from fennelwind.shards.model import Bounds, ReplicaHost
        from fennelwind.shards.shards_pb2 import Shard

        told, kinds = self.settings.file.moves, self.settings.file.kinds
        parts = 2 ** len(self.driver.router.slots)

        def homes() -> list[ReplicaHost]:
            found = []
            for name, engine in self.driver.gateway.engines.items():
                entry = engine.endpoint
                kind = kinds[entry.kind // parts]
                found.append(
                    ReplicaHost(
                        name,
                        self.settings.zones[entry.zone],
                        kind.name,
                        kind.disk_bytes,
                        kind.headroom_bytes,
                        entry.state,
                    )
                )
            return found

        usual = Bounds()
        bounds = Bounds(
            told.streams_per_engine or usual.streams_per_engine,
            told.streams_per_link or usual.streams_per_link,
            told.bytes_per_hour or usual.bytes_per_hour,
        )
        shards = [
            Shard(
                name=s.name,
                table=s.name.partition("/")[0],
                size=s.size_bytes,
                copies=s.copies or 1,
                zones=s.zones or 1,
                kinds=s.kinds,
            )
            for s in told.shards
        ]
        router = self.driver.router
        book = router.in_flight
        book.on_replica_locations = self.driver.update_replicas
        book.on_excluded_engines = self.driver.update_quiesced

        def launched() -> dict[str, float]:
            return {name: engine.endpoint.started_ms for name, engine in self.driver.gateway.engines.items()}

        keeper.serve_shards(
            self.engine_client,
            homes,
            told.staging,
            bounds,
            shards,
            book,
            router.access_counter,
            wait_for_acknowledgements=told.clearances,
        )
        keeper.migrations.engine_start_times = launched

    def _engines(self) -> list[str]:
        """Return the engines that are there now, as the module was told."""
        known = self.driver.gateway.engines
        return [name for name, engine in known.items() if engine.endpoint.state != "gone"]

    def reload_certificates(self) -> str:
        """Read certificate and key anew, for new connections; return what became of it."""
        listener, folder = self.settings.file.listener, self.settings.folder
        if not listener.tls_certificate:
            return "the settings name no certificate"
        try:
            context = server_context(folder / listener.tls_certificate, folder / listener.tls_key)
        except TlsError as exc:
            return f"the certificate is as before: {exc} ({exc.code}: {exc.advice})"
        for front in (self.front, self.http):
            if front is not None:
                front.tls = context
        return "read"

    def reload_users(self) -> str:
        """Read the file of users anew; return what became of it. A file at fault changes nothing."""
        listener, authenticator = self.settings.file.listener, self.service.authenticator
        if not listener.users_file:
            return "the settings name no file of users"
        names = [c.name for c in self.settings.module.classes]
        try:
            authenticator.users = load_users(self.settings.folder / listener.users_file, names)
        except UsersError as exc:
            return f"users are as before: {exc} ({exc.code}: {exc.advice})"
        except OSError as exc:
            return f"users are as before: {exc}"
        authenticator.logins.forget_verified()
        return f"{len(authenticator.users)} users"

    def _subscribe(self) -> None:
        if self.discovery is not None:
            self.discovery.request()
