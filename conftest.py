"""Deselects known failures, and limits garbage collections to objects of the test.

KNOWN-RED.txt lists the known failures. An entry starts with the id of a test at the
beginning of a line; indented lines are comments. Without the option, these tests run
and fail.
"""

import gc
import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
OPTION = "--pass-over-known-red"


def pytest_addoption(parser):
    """Add the option to deselect known failures."""
    parser.addoption(OPTION, action="store_true", help="Pass over KNOWN-RED.txt.")


def read_known_red(text):
    """Return the ids of the tests in the text of KNOWN-RED.txt."""
    lines = text.splitlines()
    return {line.strip() for line in lines if line and not line[0].isspace()}


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the listed tests."""
    if not config.getoption(OPTION) or not KNOWN_RED.exists():
        return
    listed = read_known_red(KNOWN_RED.read_text())
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)
    config.deselected_known_red = [item.nodeid for item in deselected]


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call():
    """Run a test without garbage collections of the objects that existed before.

    A full collection over all modules and tests of the suite takes 0.1 s of processor
    time. It would count as the work of the test in whose time it happens, and make its
    event loop late. What the test itself leaves is collected at its end.
    """
    gc.freeze()
    try:
        outcome = yield
        gc.collect()
        return outcome
    finally:
        gc.unfreeze()


def pytest_terminal_summary(terminalreporter, config):
    """Print the tests that were deselected."""
    for nodeid in getattr(config, "deselected_known_red", ()):
        terminalreporter.write_line(f"KNOWN RED, passed over: {nodeid}")
