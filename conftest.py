"""Deselects the tests that KNOWN-RED.txt lists, for the continuous integration.

An entry starts with the id of a test at the beginning of a line; indented lines are
comments. Without the option, these tests run and fail.
"""

import pathlib

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


def pytest_terminal_summary(terminalreporter, config):
    """Print the tests that were deselected."""
    for nodeid in getattr(config, "deselected_known_red", ()):
        terminalreporter.write_line(f"KNOWN RED, passed over: {nodeid}")
