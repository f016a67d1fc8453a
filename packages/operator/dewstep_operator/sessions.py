"""The session of a command: its dependencies, their construction, and its execution."""

import asyncio
import datetime
import getpass
import os
import socket
import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import typer
from returns import result

from dewstep_core import clocks, errors, fields, settings
from dewstep_operator import entries, failures, output

if TYPE_CHECKING:
    # This package can be installed without that of the entry process.
    from dewstep_entry import interfaces

TABLE_VARIABLE = "DEWSTEP_TABLE"
"""Environment variable with the addresses of the table service."""
TABLE_TIMEOUT = datetime.timedelta(seconds=2)
"""Longer than the time-out of entry processes, since no caller waits for a command."""


class Session(NamedTuple):
    """The external dependencies of a command."""

    table: "interfaces.TableClient"
    entry_client: entries.EntryClient
    seeds: tuple[settings.Address, ...]
    """Operator addresses of entry processes from which the others are found."""
    clock: clocks.Clock
    output: output.Output
    author: str
    """User and host that run the command, stored in the rows that it writes."""
    make_operation_id: Callable[[], str]
    """Generates an operation id."""
    ask: Callable[[str], str]
    """Prompts the operator with a question and returns the input."""


class Options(NamedTuple):
    """The options before the name of the command."""

    table: str | None
    entries: tuple[str, ...]
    settings_file: str | None
    as_json: bool
    open_session: "Callable[[Options], result.Result[Session, tuple]]"


class Addresses(NamedTuple):
    """Addresses of the table service and of entry processes."""

    table: tuple[settings.Address, ...]
    entries: tuple[settings.Address, ...]


def resolve_addresses(
    options: Options, environment: str | None
) -> result.Result[Addresses, tuple[fields.Problem, ...]]:
    """Return the addresses from options, the environment or settings, in this order.

    Parameters
    ----------
    options : Options
        Options of the command line.
    environment : str or None
        Value of `DEWSTEP_TABLE`.
    """
    problems: list[fields.Problem] = []
    seeds = read_addresses("--entry", options.entries, problems)
    addresses: tuple[settings.Address, ...] = ()
    if options.settings_file is not None:
        loaded = read_settings(options.settings_file)
        if isinstance(loaded, result.Success):
            addresses = loaded.unwrap().table
            seeds = seeds or loaded.unwrap().entries
        else:
            problems.extend(loaded.failure())
    for source, text in ((TABLE_VARIABLE, environment), ("--table", options.table)):
        if text:
            addresses = read_addresses(source, text.split(","), problems)
    if not addresses and not problems:
        problems.append(
            errors.FieldWrong(
                "command line",
                "--table",
                f"addresses of the table service here, in {TABLE_VARIABLE} or in a "
                "settings file",
                fields.MISSING,
            )
        )
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(Addresses(addresses, seeds))


def read_addresses(
    source: str, texts: Any, problems: list[fields.Problem]
) -> tuple[settings.Address, ...]:
    """Parse the addresses in `texts` and add a problem for each invalid one."""
    check = fields.expect_address()
    addresses = []
    for text in texts:
        address = check.read(text.strip())
        if address is None:
            problems.append(
                errors.FieldWrong(
                    "command line", source, check.expected, fields.quote(text)
                )
            )
        addresses.append(address)
    return tuple(addresses)


def read_settings(file: str) -> result.Result[Addresses, tuple[fields.Problem, ...]]:
    """Return the addresses in an operator's settings file, or all problems."""
    parsed = fields.read_text(file).bind(lambda text: fields.parse_toml(file, text))
    if isinstance(parsed, result.Failure):
        return parsed
    problems: list[fields.Problem] = []
    reader = fields.Reader(parsed.unwrap(), file, "", problems)
    address_check = fields.expect_address()
    found = Addresses(
        reader.read("table_addresses", fields.expect_list(address_check, 1)),
        reader.read("entry_addresses", fields.expect_list(address_check), ()),
    )
    reader.report_unknown_fields()
    return result.Failure(tuple(problems)) if problems else result.Success(found)


def build_output(as_json: bool) -> output.Output:
    """Return the output in JSON or as text."""
    return output.JsonOutput() if as_json else output.TextOutput()


def build_author() -> str:
    """Return the user and the host that run the command."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = f"uid {os.getuid()}"
    return f"{name}@{socket.gethostname()}"


def open_session(options: Options) -> result.Result[Session, tuple]:
    """Return a session that connects to the table service and entry processes."""

    def build(addresses: Addresses) -> Session:
        from dewstep_core.platform import table

        author = build_author()
        return Session(
            table.TableClient(
                addresses.table, author, "operators", timeout=TABLE_TIMEOUT
            ),
            entries.HttpEntryClient(),
            addresses.entries,
            clocks.SystemClock(),
            build_output(options.as_json),
            author,
            lambda: str(uuid.uuid4()),
            lambda question: typer.prompt(question, err=True),
        )

    return resolve_addresses(options, os.environ.get(TABLE_VARIABLE)).map(build)


Command = Callable[[Session], Awaitable[result.Result[output.Report, Any]]]


def run(context: typer.Context, command: Command) -> None:
    """Run `command` in a session, show its outcome and exit with its exit code."""
    options: Options = context.obj

    async def run_in_loop():
        # The connections of a session are bound to the event loop.
        opened = options.open_session(options)
        if isinstance(opened, result.Failure):
            return opened
        session = opened.unwrap()
        try:
            return await command(session)
        finally:
            close = getattr(session.table, "close", None)
            if close is not None:
                await close()

    report_outcome(build_output(options.as_json), asyncio.run(run_in_loop()))


def report_outcome(command_output: output.Output, outcome: result.Result) -> None:
    """Show `outcome`, and exit with a non-zero code if it is a failure.

    The failure is a single one or a plain tuple of several, of which the first
    determines the exit code.
    """
    if isinstance(outcome, result.Success):
        command_output.show_report(outcome.unwrap())
        return
    failure = outcome.failure()
    found = failure if type(failure) is tuple else (failure,)
    command_output.show_failures(found)
    raise typer.Exit(failures.get_exit_code(found[0]))
