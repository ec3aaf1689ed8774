"""Marks that a member remembers: each is news once, and their number is bounded."""

from eelgrass_coordination import gossip_items as gossip_items_module
from eelgrass_coordination.gossip_items import GossipItems
from eelgrass_coordination.messages import GossipItem


class TestHeardMarks:
    def test_a_mark_is_news_once_and_again_with_a_greater_number(self):
        marks = GossipItems()
        assert marks.take(GossipItem("kind", "name", 2), period=0, times=1)
        assert not marks.take(GossipItem("kind", "name", 2), period=0, times=1)
        assert not marks.take(GossipItem("kind", "name", 1), period=0, times=1)
        assert marks.take(GossipItem("kind", "name", 3), period=0, times=1)
        assert marks.to_send(8) == (GossipItem("kind", "name", 3),)
        assert marks.to_send(8) == ()

    def test_marks_with_ever_new_names_do_not_fill_the_memory(self, monkeypatch):
        """A caller that sends a new harmful request each time makes new marks."""
        monkeypatch.setattr(gossip_items_module, "MAX_HEARD", 4)
        marks = GossipItems()
        for number in range(20):
            marks.take(GossipItem("kind", f"name-{number}", 1), period=0, times=1)
        assert [mark.name for mark in marks.all()] == [
            f"name-{n}" for n in range(16, 20)
        ]
