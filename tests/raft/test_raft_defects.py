"""Each defect planted in the council's core is found, by a day or by the search."""

import pytest
from raft_defects import DEFECTS, by_search, by_seeds

AGAIN = 60  # seeds more: which day finds a defect moves with each change of the core


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    first, more = DEFECTS[name].near
    found = by_search(name, more, first) if isinstance(first, str) else by_seeds(name, first, AGAIN, more)
    assert found is not None
