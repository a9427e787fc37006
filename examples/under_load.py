"""Many threads that honour what the server says: python examples/under_load.py HOST PORT"""

import sys
from collections import Counter
from threading import Thread

from fennelwind import client

THREADS, STATEMENTS = 8, 5
host, port = sys.argv[1], int(sys.argv[2])
ends: Counter[str] = Counter()


def work() -> None:
    """Run statements one after the other; count how they end."""
    with client.connect(host, port, user="ann", timeout_s=5) as there:
        for _ in range(STATEMENTS):
            try:
                there.cursor().execute("select 1", configuration={"fennelwind.work_ms": "10"}).fetchall()
                ends["served"] += 1
            except client.RefusedError as refused:
                ends["refused"] += 1
                print(refused)
            except client.FailedError:
                ends["failed"] += 1


threads = [Thread(target=work) for _ in range(THREADS)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print(dict(ends))
