import asyncio
import datetime

from dewstep_core import data
from dewstep_entry.state import view


def test_older_versions_are_not_accepted():
    holder = view.ViewHolder()
    assert holder.offer_configuration(data.Configuration(3, {}, {}))
    assert not holder.offer_configuration(data.Configuration(2, {}, {}))
    assert holder.offer_assignment(data.Assignment("history", 2, ("a",), {}, ()))
    assert not holder.offer_assignment(data.Assignment("history", 2, ("b",), {}, ()))
    row = data.GateRow("a", "e1", "i", "127.0.0.1", 1, 5, 5)
    assert holder.offer_gate(row)
    assert not holder.offer_gate(row._replace(entry="e2", term=4))
    assert holder.set_table_contact(datetime.timedelta(seconds=2))
    assert not holder.set_table_contact(datetime.timedelta(seconds=1))
    current = holder.current
    assert current.configuration.revision == 3
    assert current.assignments["history"].owners == ("a",)
    assert current.gates["a"].entry == "e1"


def test_wait_change_returns_after_the_next_change():
    async def scenario():
        holder = view.ViewHolder()
        waiting = asyncio.ensure_future(holder.wait_change(0))
        await asyncio.sleep(0)
        assert not waiting.done()
        member = data.Member("e1", "i", "dc1", "127.0.0.1", 1)
        holder.set_member(view.MemberState(member, datetime.timedelta(), True))
        assert await waiting == 1
        assert holder.current.members["e1"].alive

    asyncio.run(scenario())
