import datetime

from dewstep_entry.policy import decay, outliers


def test_a_long_uptime_overflows_nothing():
    # The balancer ended its process on machines that had been up for over an hour.
    long = datetime.timedelta(days=400)
    scale = decay.Scale(datetime.timedelta(seconds=5), datetime.timedelta())
    assert scale.compute_rate(1.0, long) < 1e-100
    watch = outliers.Outliers()
    watch.add_target("t", long)
    assert watch.summarize(long)["t"].answers == 0.0
