import datetime

from dewstep_entry.policy import decay, outliers


def test_weights_do_not_overflow_after_a_long_uptime():
    # Guards against an overflow that stopped the balancer's process on machines with an
    # uptime of more than 1,024 half-lives.
    uptime = datetime.timedelta(days=400)
    scale = decay.Scale(datetime.timedelta(seconds=5), datetime.timedelta())
    assert scale.compute_rate(1.0, uptime) < 1e-100
    detector = outliers.OutlierDetector()
    detector.add_target("t", uptime)
    assert detector.summarize(uptime)["t"].answers == 0.0
