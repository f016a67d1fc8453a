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
VERDICT = pacing.Verdict


@pytest.mark.parametrize(
    ("pace", "verdict"),
    [
        (pacing.Pace(PHASE.IDLE, 59, 0, 0), VERDICT.KEEP),
        (pacing.Pace(PHASE.IDLE, 61, 0, 0), VERDICT.END),
        (pacing.Pace(PHASE.HEAD, 6, 0, 0), VERDICT.REFUSE),
        (pacing.Pace(PHASE.BODY, 3, 0, 1000), VERDICT.KEEP),
        # Earlier waits count: otherwise one byte per wait could go on for ever.
        (pacing.Pace(PHASE.BODY, 1, 3, 1000), VERDICT.REFUSE),
        (pacing.Pace(PHASE.HANDLING, 500, 0, 0), VERDICT.KEEP),
        (pacing.Pace(PHASE.WRITING, 1, 0, 0), VERDICT.KEEP),
        (pacing.Pace(PHASE.WRITING, 3, 0, 2999), VERDICT.END),
        (pacing.Pace(PHASE.WRITING, 3, 0, 3000), VERDICT.SAMPLE),
        (pacing.Pace(PHASE.LINGERING, 1.5, 0, 0), VERDICT.END),
    ],
)
def test_slow_callers_are_told_from_busy_handlers(pace, verdict):
    assert pacing.judge(pace, LIMITS) is verdict
