"""Each defect planted in the council's core is found, by a day or by the search."""

import pytest
from council_defects import DEFECTS, by_search, by_seeds

AGAIN = 60  # seeds more: which day finds a defect moves with each change of the core

# Where each was found: a seed and how much of its day, or a start of the search and states enough.
DAYS = {
    "vote_before_it_is_written": (1, 0.2),
    "read_before_an_own_entry": (42, 0.2),
    "tail_kept_after_a_conflict": (19, 0.2),
    "two_changes_at_once": (56, 1.0),
    "learners_count": (71, 1.0),
    "snapshot_without_its_term": (1, 0.2),
    "snapshot_with_later_members": (1, 0.2),
    "vote_for_a_shorter_log": (1, 0.2),
    "half_is_enough": (1, 0.2),
    "promise_forgotten_when_it_can_write": (7, 0.2),
    "cut_entries_still_count": (19, 0.2),
    "clock_of_the_new_leader": (1, 0.2),
    "pieces_of_two_snapshots": (86, 1.0),
    "returns_empty_as_who_it_was": (21, 0.2),
}
SEARCHES = {
    "read_from_a_deposed_leader": ("contested", 100),
    "commit_by_counting_old_terms": ("old_term", 12_000),
    "vote_forgotten_at_a_crash": ("rivals", 1000),
    "acknowledge_before_sync": ("led", 1000),
    "leader_counts_itself_early": ("led", 3000),
    "follower_commits_what_it_has": ("contested", 1000),
    "failed_write_taken_as_done": ("led", 1000),
    "mute_member_votes": ("led", 3000),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    if name in SEARCHES:
        start, states = SEARCHES[name]
        assert by_search(name, states, (start,)) is not None
    else:
        seed, part = DAYS[name]
        assert by_seeds(name, seed, AGAIN, part) is not None
