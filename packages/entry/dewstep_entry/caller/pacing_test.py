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
    ("progress", "action"),
    [
        (pacing.PhaseProgress(PHASE.IDLE, 59, 0, 0), ACTION.KEEP),
        (pacing.PhaseProgress(PHASE.IDLE, 61, 0, 0), ACTION.CLOSE),
        (pacing.PhaseProgress(PHASE.HEAD, 6, 0, 0), ACTION.REFUSE),
        (pacing.PhaseProgress(PHASE.BODY, 3, 0, 1000), ACTION.KEEP),
        # Earlier waits count; otherwise a caller could send one byte per wait forever.
        (pacing.PhaseProgress(PHASE.BODY, 1, 3, 1000), ACTION.REFUSE),
        (pacing.PhaseProgress(PHASE.HANDLING, 500, 0, 0), ACTION.KEEP),
        (pacing.PhaseProgress(PHASE.WRITING, 1, 0, 0), ACTION.KEEP),
        (pacing.PhaseProgress(PHASE.WRITING, 3, 0, 2999), ACTION.CLOSE),
        (pacing.PhaseProgress(PHASE.WRITING, 3, 0, 3000), ACTION.SAMPLE),
        (pacing.PhaseProgress(PHASE.LINGERING, 1.5, 0, 0), ACTION.CLOSE),
    ],
)
def test_only_slow_callers_are_refused_or_closed(progress, action):
    assert pacing.choose_action(progress, LIMITS) is action
