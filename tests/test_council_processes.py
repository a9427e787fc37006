"""The council by real processes with faults between them, judged by events."""

from fennelwind.fleet.councilrig import ACT, CouncilRig, overlaps


def test_three_processes_one_lease_one_kill(tmp_path):
    def script(rig):
        rig.acts(5)
        first = rig.holder()
        rig.kill(first)
        seen = rig.acts(5)
        second = rig.resource.seen[-1].who
        assert second != first
        rig.start(first)
        rig.acts(5, than=seen)
        return rig.resource.seen

    seen = CouncilRig(tmp_path, task=ACT, clients=1).play(script)
    assert not overlaps(s for s in seen if s.taken)
    assert len({s.fence for s in seen}) >= 2
