"""`python -m fennelwind.node`: one controller on the platform."""

import sys

from fennelwind.node.lifecycle import main

if __name__ == "__main__":
    sys.exit(main())
