"""What one run of a command works with, and how it is put together."""

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

from dewstep_core import clock, errors, fields, settings
from dewstep_operator import entries, failures, output

if TYPE_CHECKING:
    # The operators' package is installed without the entry process.
    from dewstep_entry import interfaces

TABLE_VARIABLE = "DEWSTEP_TABLE"
TABLE_TIMEOUT = datetime.timedelta(seconds=2)
"""Longer than an entry process allows itself: a person waits, and no request does."""


class Session(NamedTuple):
    """Everything outside the process that a command reaches."""

    table: "interfaces.TableClient"
    entry_client: entries.EntryClient
    seeds: tuple[settings.Address, ...]
    """Operators' addresses of entry processes to start from."""
    clock: clock.Clock
    output: output.Output
    author: str
    """Who runs the command, for the rows that it writes."""
    make_id: Callable[[], str]
    """Makes an operation id."""
    ask: Callable[[str], str]
    """Asks the operator a question and returns the answer."""


class Options(NamedTuple):
    """The options that stand before the command's name."""

    table: str | None
    entries: tuple[str, ...]
    settings_file: str | None
    as_json: bool
    open_session: "Callable[[Options], result.Result[Session, tuple]]"


class Addresses(NamedTuple):
    """Where the platform and the entry processes are."""

    table: tuple[settings.Address, ...]
    entries: tuple[settings.Address, ...]


def resolve_addresses(
    options: Options, environment: str | None
) -> result.Result[Addresses, tuple[fields.Problem, ...]]:
    """Return the addresses to use; options go before environment before settings.

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
    """Return the addresses in `texts`; note those that are wrong."""
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
    """Return the addresses in an operators' settings file, or all problems."""
    parsed = fields.read_text(file).bind(lambda text: fields.parse_toml(file, text))
    if isinstance(parsed, result.Failure):
        return parsed
    problems: list[fields.Problem] = []
    reader = fields.Reader(parsed.unwrap(), file, "", problems)
    address = fields.expect_address()
    found = Addresses(
        reader.read("table_addresses", fields.expect_list(address, 1)),
        reader.read("entry_addresses", fields.expect_list(address), ()),
    )
    reader.finish()
    return result.Failure(tuple(problems)) if problems else result.Success(found)


def build_output(as_json: bool) -> output.Output:
    """Return the output for programs or for people."""
    return output.ProgramOutput() if as_json else output.PeopleOutput()


def build_author() -> str:
    """Return who runs the command and where."""
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = f"uid {os.getuid()}"
    return f"{name}@{socket.gethostname()}"


def open_session(options: Options) -> result.Result[Session, tuple]:
    """Return a session with the real table service and entry processes."""

    def build(addresses: Addresses) -> Session:
        from dewstep_core.platform import table

        author = build_author()
        return Session(
            table.TableClient(
                addresses.table, author, "operators", timeout=TABLE_TIMEOUT
            ),
            entries.HttpEntryClient(),
            addresses.entries,
            clock.SystemClock(),
            build_output(options.as_json),
            author,
            lambda: str(uuid.uuid4()),
            lambda question: typer.prompt(question, err=True),
        )

    return resolve_addresses(options, os.environ.get(TABLE_VARIABLE)).map(build)


Command = Callable[[Session], Awaitable[result.Result[output.Report, Any]]]


def run(context: typer.Context, command: Command) -> None:
    """Run `command` in a session, show its outcome and exit with its code."""
    options: Options = context.obj

    async def run_in_loop():
        # The session's connections belong to the event loop.
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

    finish(build_output(options.as_json), asyncio.run(run_in_loop()))


def finish(shown: output.Output, outcome: result.Result) -> None:
    """Show `outcome` and exit, with code 0 only after a success.

    A failure is one failure or a plain tuple of several; the first decides the code.
    """
    if isinstance(outcome, result.Success):
        shown.show(outcome.unwrap())
        return
    failure = outcome.failure()
    found = failure if type(failure) is tuple else (failure,)
    shown.show_failures(found)
    raise typer.Exit(failures.get_exit_code(found[0]))
