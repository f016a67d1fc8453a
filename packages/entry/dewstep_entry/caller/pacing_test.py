import datetime

import pytest

from dewstep_core import settings
from dewstep_entry.caller import pacing

LIMITS = settings.CallerLimits(
    head_timeout=datetime.timedelta(seconds=5),
    body_rate_bytes=1000,
    body_grace=datetime.timedelta(seconds=2),
    idle_timeout=datetime.timedelta(seconds=60),
)
PHASE = pacing.Phase
ACTION = pacing.Action


@pytest.mark.parametrize(
    ("pace", "action"),
    [
        (pacing.Pace(PHASE.IDLE, 59, 0, 0), ACTION.KEEP),
        (pacing.Pace(PHASE.IDLE, 61, 0, 0), ACTION.END),
        (pacing.Pace(PHASE.HEAD, 6, 0, 0), ACTION.REFUSE),
        (pacing.Pace(PHASE.BODY, 3, 0, 1000), ACTION.KEEP),
        # Earlier waits count; otherwise a caller could send one byte per wait forever.
        (pacing.Pace(PHASE.BODY, 1, 3, 1000), ACTION.REFUSE),
        (pacing.Pace(PHASE.HANDLING, 500, 0, 0), ACTION.KEEP),
        (pacing.Pace(PHASE.WRITING, 1, 0, 0), ACTION.KEEP),
        (pacing.Pace(PHASE.WRITING, 3, 0, 2999), ACTION.END),
        (pacing.Pace(PHASE.WRITING, 3, 0, 3000), ACTION.SAMPLE),
        (pacing.Pace(PHASE.LINGERING, 1.5, 0, 0), ACTION.END),
    ],
)
def test_only_slow_callers_are_refused_or_closed(pace, action):
    assert pacing.choose_action(pace, LIMITS) is action
