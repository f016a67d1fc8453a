"""Tests of how often news are sent."""

import datetime

from dewstep_fleet import news

MILLISECOND = datetime.timedelta(milliseconds=1)


def test_members_of_a_large_fleet_get_few_news():
    # Guards against members that spend their time on news: with hundreds of members,
    # some change is always waiting.
    assert news.choose_interval(9) < 5 * MILLISECOND
    assert news.choose_interval(195) > 90 * MILLISECOND
    # News are as old as this when they are sent.
    assert news.choose_interval(1_600) <= 100 * MILLISECOND
