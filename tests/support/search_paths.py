"""Puts every folder of tests on the path of imports, so that a play run by hand finds what it shares."""

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent
ROOT = TESTS.parent

for folder in [ROOT, TESTS, *sorted(path for path in TESTS.iterdir() if path.is_dir())]:
    if str(folder) not in sys.path:
        sys.path.append(str(folder))
