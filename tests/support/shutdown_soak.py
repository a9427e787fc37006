"""Sampled shutdowns of real processes; clients use their connections until the earliest SIGKILL.

.venv/bin/python tests/support/shutdown_soak.py FIRST LAST [AT_ONCE]
"""

import search_paths  # noqa: F401 - lets the file be run by hand

# isort: split

import signal
import socket
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from itertools import pairwise
from pathlib import Path
from random import Random

from nodes import SETTINGS, instance, query_id
from processes import (
    DEADLINE_SLACK_S,
    MAX_START_AFTER_LEAVING_S,
    Controller,
    SlowChannel,
    ThreadedClient,
    ThreadedExecutor,
    classes_with,
)

SLACK_S = 0.05  # protocol: tolerance of every time limit
CROSSED_CLOSE_S = 0.05  # protocol: a request sent this shortly before a close may cross it and is resent
MAX_LATENESS_S = 0.5  # standing test: an answer later than this counts as lost
NEW_CONNECTIONS_UNTIL_S = 0.2  # protocol: new connections arrive at least this long after SIGTERM
CLIENT_DESCRIPTOR_DIVISOR = 3  # protocol: clients hold a third of the descriptors at most


class SoakExecutor(ThreadedExecutor):
    """An executor with a fault drawn at random, or none."""

    def __init__(self, random: Random) -> None:
        self.random, self.fault = (
            random,
            random.choice(["", "", "slow", "hangs", "resets", "full", "forgets"]),
        )
        super().__init__(work_s=random.choice([0.0, 0.02, 0.1]) if self.fault != "slow" else 3.0)
        self.serves = self.fault != "hangs"

    def _answer(self, verb, path, fields):
        answer = super()._answer(verb, path, fields)
        if verb == "POST" and self.random.random() < 0.3:
            if self.fault == "resets":
                raise OSError("reset")
            if self.fault == "forgets":
                self.ends_at.pop(fields["X-Req"], None)
                return b"HTTP/1.1 500 Lost\r\nContent-Length: 0\r\n\r\n"
            if self.fault == "full":
                self.ends_at.pop(fields["X-Req"], None)
                return b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        return answer


class StallMeter:
    """Measures the longest scheduling delay of this process's threads, by which its times may be late."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            began = time.monotonic()
            time.sleep(0.005)
            self.worst_s = max(self.worst_s, time.monotonic() - began - 0.005)


class Soak:
    """One sampled shutdown."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = random = Random(f"shutdown soak {seed}")
        self.longest_ms = random.choice([300.0, 900.0, 2000.0, 3000.0, 6000.0])
        self.is_crowded = random.random() < 0.3
        self.executors = [SoakExecutor(random) for _ in range(random.randint(1, 4))]
        self.ceilings = SETTINGS["Ceilings"] | {
            "Cancel": random.random() < 0.7,
            "ParallelTries": random.random() < 0.5,
            "MaxAttempts": random.choice([1, 2, 3]),
        }
        self.keyed = {
            "Effect": "by_key",
            "Group": random.choice(["all", "zone", "cell"]),
            "MemorySpanMs": 400.0,
        }
        query_classes = classes_with(GiveUpMs=self.longest_ms)
        query_classes[1] |= self.keyed
        # `drained`: when each executor was reported as draining
        self.drain_grace_s, self.drained = random.choice([0.0, 0.3]), {}
        rules = SETTINGS["Rules"] | {"DrainGraceMs": 1000.0 * self.drain_grace_s}
        self.retry_budget = random.choice([{}, {"ExtraFloor": 1.0, "FurtherRatio": 0.1, "LookBackMs": 500.0}])
        rules |= self.retry_budget
        self.channel = SlowChannel(lambda number: 0.0)
        self.instances = [
            instance(f"s-{k}", k)
            | {"hostPort": each.address, "zone": random.choice(["east", "west"]), "cell": random.randrange(2)}
            for k, each in enumerate(self.executors, 1)
        ]
        self.controller = Controller(
            folder,
            self.executors,
            instances=self.instances,
            channel=self.channel.address,
            Grades=query_classes,
            Ceilings=self.ceilings,
            Rules=rules,
            sockets=256,
        )
        self.clients: list[ThreadedClient] = []
        self.left_at: dict[str, float] = {}  # when a request was cancelled, by its id
        self.lock, self.last_id = threading.Lock(), 0
        self.ended, self.stall_meter = False, StallMeter()
        self.sigterm_at = self.killed_at = float("inf")

    def run(self) -> list[str]:
        """Run it; return the violations."""
        try:
            if self.is_crowded:
                idle = [ThreadedClient(self.controller) for _ in range(256 // CLIENT_DESCRIPTOR_DIVISOR - 12)]
            threads = [
                threading.Thread(
                    target=self._run_client, args=(Random(f"{self.random.random()}"),), daemon=True
                )
                for _ in range(self.random.randint(4, 12))
            ]
            for thread in threads:
                thread.start()
            drain_timer = threading.Timer(self.random.uniform(0.0, 1.5), self._drain)
            drain_timer.start()
            time.sleep(self.random.uniform(0.3, 1.2))
            self._send_signals()
            drain_timer.join()
            self.ended = True
            for thread in threads:
                thread.join(10.0)
            time.sleep(0.1)
            for client in idle if self.is_crowded else ():
                client.close()
            violations = list(self._check())
            if violations:
                closed = [line.strip() for line in self.controller.lines if line.startswith("closed")]
                violations.append(
                    f"threads of the test delayed by {self.stall_meter.worst_s:.3f} s at most; {closed}"
                )
            return violations
        finally:
            self.controller.end()

    def _drain(self) -> None:
        """Report an executor as ending, in one of the forms that the protocol has for it."""
        number = self.random.randrange(len(self.executors))
        state = self.random.choice(["terminating", "terminated"])
        self.channel.publish(2, self.instances[number] | {"lifecycle": state})
        self.drained[self.executors[number]] = time.monotonic()

    def _send_signals(self) -> None:
        random, controller = self.random, self.controller
        for _ in range(random.choice([0, 0, 2, 5])):
            controller.signal(signal.SIGHUP)
            time.sleep(random.choice([0.0, 0.01, 0.2]))
        self.sigterm_at = controller.signal(signal.SIGTERM)
        self.killed_at = self.sigterm_at + controller.killed_after_s(self.longest_ms)
        for _ in range(random.choice([0, 1, 4])):
            time.sleep(random.uniform(0.0, 0.3))
            with suppress(ProcessLookupError):
                controller.signal(random.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
        while time.monotonic() < self.killed_at and controller.process.poll() is None:
            time.sleep(0.005)
        controller.process.kill()
        controller.process.wait()

    def _run_client(self, random: Random) -> None:
        client = None
        while not self.ended:
            try:
                if client is None:
                    if time.monotonic() > self.sigterm_at + NEW_CONNECTIONS_UNTIL_S:
                        return
                    client = ThreadedClient(self.controller)
                    self.clients.append(client)
                self._send_requests(client, random)
            except OSError:
                client = None
                time.sleep(0.01)

    def _send_requests(self, client: ThreadedClient, random: Random) -> None:
        requests = []
        for _ in range(random.choice([1, 1, 1, 3, 8])):
            with self.lock:
                self.last_id += 1
                query = query_id(self.last_id)
            cls = random.choice(["lookup", "scene-build", "publish"])
            requests.append(client.send_request(query, cls, random.uniform(0.3, 1.0) * self.longest_ms))
        if random.random() < 0.1:
            time.sleep(random.uniform(0.0, 0.1))
            number = random.choice(list(client.requests))
            client.forget(number)
            self.left_at[client.requests[number].query] = time.monotonic()
        if random.random() < 0.05:
            now = time.monotonic()
            self.left_at |= {each.query: now for each in client.requests.values() if not each.answers}
            client.close(random.random() < 0.5)
            raise OSError("left")
        while not self.ended and client.ended_at is None:
            if all(each.answers or each.query in self.left_at for each in requests):
                break
            time.sleep(0.005)
        if client.ended_at is not None:
            raise OSError("ended")
        time.sleep(random.choice([0.0, 0.02, 0.3, 1.0]))

    def _check(self):
        posts: dict[str, list] = {}
        for executor in self.executors:
            for post in executor.posts:
                posts.setdefault(post.query, []).append(post)
        if self.controller.process.returncode not in (0, -signal.SIGKILL):
            yield f"ended with {self.controller.process.returncode}"
        self.timing_error_s = self.stall_meter.worst_s
        if self.retry_budget:
            yield from self._check_retry_budget(posts)
        for client in self.clients:
            for number, request in client.requests.items():
                yield from self._check_request(client, number, request, posts.get(request.query, []))

    def _check_retry_budget(self, posts):
        """Check the further attempts of each window against the requests received in it."""
        window_s, slack = self.retry_budget["LookBackMs"] / 1000.0, SLACK_S + self.timing_error_s
        sent_times = [one.sent_at for client in self.clients for one in client.requests.values()]
        further_times = sorted(
            post.received_at
            for each in posts.values()
            for post in sorted(each, key=lambda post: post.received_at)[1:]
        )
        for at in further_times:
            further_count = sum(at - window_s + slack <= other <= at for other in further_times)
            request_count = sum(at - window_s - slack <= sent <= at + slack for sent in sent_times)
            if (
                further_count
                > self.retry_budget["ExtraFloor"] + self.retry_budget["FurtherRatio"] * request_count
            ):
                yield f"{further_count} further attempts in a window of {request_count} requests"

    def _check_attempts(self, label, request, posts):
        """Check the attempts of one request against each other and against its class."""
        # Ordered as they were sent: the kernel's arrival times are only accurate to some ms.
        posts = sorted(posts, key=lambda post: -int(post.headers["X-Wait-Ms"]))
        slack = SLACK_S + self.timing_error_s
        is_once, is_keyed = request.cls == "publish", request.cls == "scene-build"
        if len(posts) > self.ceilings["MaxAttempts"]:
            yield f"{label}: {len(posts)} attempts"
        for before, post in pairwise(posts):
            if not self.ceilings["ParallelTries"] and post.received_at < before.running_until() - slack:
                yield f"{label}: two attempts running, {before.running_until() - post.received_at:.3f} s"
        for post in posts:
            if post.received_at > self.drained.get(post.executor, float("inf")) + self.drain_grace_s + slack:
                yield f"{label}: sent to a draining executor"
        unresolved = next((post for post in posts if not post.did_not_run), None)
        later = posts[posts.index(unresolved) + 1 :] if unresolved is not None else []
        if is_once and later:
            yield f"{label}: sent again though it may have run"
        for post in later if is_keyed else ():
            if post.received_at > unresolved.received_at + self.keyed["MemorySpanMs"] / 1000.0 + slack:
                yield f"{label}: sent again after its deduplication window"
            group = self.keyed["Group"]
            if group != "all" and self._location(post, group) != self._location(unresolved, group):
                yield f"{label}: sent again in another {group}"
        refused = request.answers and request.answers[0][1] and request.answers[0][1][0] == "Shed"
        if refused and unresolved is not None and (is_once or is_keyed and self.keyed["Group"] != "all"):
            yield f"{label}: refused though it may have run"

    def _location(self, post, group):
        placement = self.instances[self.executors.index(post.executor)]
        return placement["zone"], placement["cell"] if group == "cell" else None

    def _check_request(self, client, number, request, posts):
        label = f"{request.query} sent {request.sent_at - self.sigterm_at:+.3f} s from SIGTERM"
        yield from self._check_attempts(label, request, posts)
        left_at = self.left_at.get(request.query)
        due = request.sent_at + request.wait_s
        if len(request.answers) > 1:
            yield f"{label}: {len(request.answers)} answers"
        if not request.answers and left_at is None:
            ended = client.ended_at or self.killed_at
            is_crossed = request.sent_at >= ended - CROSSED_CLOSE_S - self.timing_error_s and not posts
            is_closed_unread = self.is_crowded and number == 1 and not posts
            if not (is_crossed or is_closed_unread):
                yield f"{label}: no answer; closed at {ended - self.sigterm_at:+.3f} s, {len(posts)} attempts"
        if (
            request.answers
            and left_at is None
            and request.answers[0][0] > due + MAX_LATENESS_S + self.timing_error_s
        ):
            yield f"{label}: answer {request.answers[0][0] - due:.3f} s late"
        for post in posts:
            if (
                left_at is not None
                and post.received_at > left_at + MAX_START_AFTER_LEAVING_S + self.timing_error_s
            ):
                yield f"{label}: an attempt began {post.received_at - left_at:.3f} s after its client left"
            deadline_s = int(post.headers["X-Wait-Ms"]) / 1000.0
            if deadline_s > due - post.received_at + DEADLINE_SLACK_S + self.timing_error_s:
                yield f"{label}: sent deadline {deadline_s:.3f} s with {due - post.received_at:.3f} s left"


def run_soak(seed: int) -> list[str]:
    """Run the shutdown of a seed; return the violations."""
    with tempfile.TemporaryDirectory() as folder:
        return Soak(seed, Path(folder)).run()


if __name__ == "__main__":
    first, last = int(sys.argv[1]), int(sys.argv[2])
    socket.setdefaulttimeout(30.0)
    with ProcessPoolExecutor(int(sys.argv[3]) if len(sys.argv) > 3 else 2) as pool:
        for seed, violations in zip(range(first, last), pool.map(run_soak, range(first, last)), strict=True):
            print(seed, violations or "holds", flush=True)
