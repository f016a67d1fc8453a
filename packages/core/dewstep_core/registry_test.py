import pytest

from dewstep_core import registry


def test_register_and_get():
    names = registry.Registry("method")
    names.register("plain")(len)
    assert names.get("plain") is len
    assert names.get("other") is None
    assert list(names) == ["plain"]


def test_register_refuses_a_name_that_is_already_registered():
    names = registry.Registry("method")
    names.register("plain")(len)
    with pytest.raises(ValueError):
        names.register("plain")(repr)
