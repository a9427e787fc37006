"""`python -m fennelwind.node` runs one controller on the platform."""

import sys

from fennelwind.node.lifecycle import main

if __name__ == "__main__":
    sys.exit(main())
