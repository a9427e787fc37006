"""Each defect planted in the Raft core is found, by a simulated play or by the exhaustive search."""

import pytest
from raft_defects import DEFECTS, by_search, by_seeds

MAX_SEEDS = 60  # which seed finds a defect changes with the core


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    first, size = DEFECTS[name].found_by
    found = by_search(name, size, first) if isinstance(first, str) else by_seeds(name, first, MAX_SEEDS, size)
    assert found is not None
