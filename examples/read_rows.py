"""Read rows by the client library: python examples/read_rows.py HOST PORT [USER PASSWORD]"""

import sys

from fennelwind import client

host, port, *login = sys.argv[1:]
user, password = (*login, "", "")[:2] if login else ("ann", "")
with client.connect(host, int(port), user=user, password=password, timeout_s=10) as there:
    cursor = there.cursor()
    cursor.execute(
        "select * from t where id < %(most)s",
        {"most": 3},
        repeatable=True,
        configuration={"standin.rows": "3"},
    )
    print([(name, kind) for name, kind, *_ in cursor.description])
    for number, text in cursor:
        print(number, text)
