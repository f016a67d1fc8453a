"""The command line `dewstep` for operators.

Options before the command state the addresses of the table service and of entry
processes. Each command is implemented in another module and returns a report or a
failure.
"""

import datetime
import sys
import traceback
from typing import Annotated

import typer

from dewstep_core import durations
from dewstep_operator import (
    applying,
    declaring,
    draining,
    explaining,
    failures,
    listings,
    moving,
    quarantine,
    sessions,
)

EXIT_CODES = """
Exit codes: 0 done; 1 refused, or lost a race; 2 wrong input or settings;
3 platform or entry process not reachable; 4 outcome not known.
"""
MAXIMUM_WAIT = datetime.timedelta(hours=24)

app = typer.Typer(
    help="Operate dewstep: configuration, ownership of keys, targets, entry processes.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
quarantine_app = typer.Typer(
    help="List and release requests that crashed targets.", no_args_is_help=True
)
app.add_typer(quarantine_app, name="quarantine")


def parse_wait(text: str) -> datetime.timedelta:
    """Parse the duration in an option."""
    duration = durations.parse_duration(text)
    if duration is None or duration > MAXIMUM_WAIT:
        raise typer.BadParameter('expected a duration such as "30s" or "10m"')
    return duration


Files = Annotated[
    list[str], typer.Argument(metavar="FILE...", help="TOML files with all records.")
]
Limit = Annotated[
    datetime.timedelta,
    typer.Option(parser=parse_wait, metavar="DURATION", help="Longest time to wait."),
]
ServiceFilter = Annotated[
    str | None, typer.Argument(metavar="[SERVICE]", help="Only this service.")
]


@app.callback()
def set_options(
    context: typer.Context,
    table: Annotated[
        str | None,
        typer.Option(
            metavar="HOST:PORT[,...]",
            help="Addresses of the table service; default: $DEWSTEP_TABLE, then the "
            "settings file.",
        ),
    ] = None,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            metavar="HOST:PORT",
            help="Operators' address of an entry process; may be repeated. The others "
            "are found from it.",
        ),
    ] = None,
    settings: Annotated[
        str | None,
        typer.Option(
            metavar="FILE",
            envvar="DEWSTEP_SETTINGS",
            help="TOML file with table_addresses and entry_addresses.",
        ),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Write one JSON document for programs.")
    ] = False,
) -> None:
    """Store the options for the command that follows."""
    # Tests pass a replacement for `open_session` as the context's object.
    session_opener = context.obj or sessions.open_session
    context.obj = sessions.Options(
        table, tuple(entry or ()), settings, as_json, session_opener
    )


@app.command(epilog=EXIT_CODES)
def check(context: typer.Context, files: Files) -> None:
    """Check files with configuration records; report all problems at once.

    Needs no platform.
    """
    command_output = sessions.build_output(context.obj.as_json)
    sessions.report_outcome(command_output, applying.check_files(files))


@app.command(epilog=EXIT_CODES)
def show(context: typer.Context) -> None:
    """Show the configuration in the table, who applied it and when."""
    sessions.run(context, applying.show_configuration)


@app.command(epilog=EXIT_CODES)
def diff(context: typer.Context, files: Files) -> None:
    """Show what applying the files would change."""
    sessions.run(context, lambda session: applying.show_difference(session, files))


@app.command(epilog=EXIT_CODES)
def apply(
    context: typer.Context,
    files: Files,
    revision: Annotated[
        int | None,
        typer.Option(help="Refuse unless this revision is in the table."),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until all entry processes have the revision in force."
        ),
    ] = False,
    limit: Limit = "60s",
) -> None:
    """Replace all records in force by those in the files.

    Of two operators who start from the same revision one wins; the other is told which
    revision it lost to, by whom and when, and has written nothing. A target whose
    record does not mention `draining` keeps its present state.
    """
    sessions.run(
        context,
        lambda session: applying.apply_files(
            session, files, revision, limit if wait else None
        ),
    )


@app.command(epilog=EXIT_CODES)
def services(context: typer.Context) -> None:
    """List the services."""
    sessions.run(context, listings.list_services)


@app.command(epilog=EXIT_CODES)
def owners(context: typer.Context, service: ServiceFilter = None) -> None:
    """List which target owns which shards and single keys."""
    sessions.run(context, lambda session: listings.list_owners(session, service))


@app.command(epilog=EXIT_CODES)
def targets(context: typer.Context) -> None:
    """List the targets, what they own and their gates."""
    sessions.run(context, listings.list_targets)


@app.command(name="entries", epilog=EXIT_CODES)
def list_entries(context: typer.Context) -> None:
    """List the entry processes and the revision that each has in force."""
    sessions.run(context, listings.list_entries)


@app.command(epilog=EXIT_CODES)
def drain(
    context: typer.Context,
    target: Annotated[str, typer.Argument(help="Name of the target.")],
    undo: Annotated[
        bool, typer.Option("--undo", help="Let the target take new work again.")
    ] = False,
    wait: Annotated[
        bool,
        typer.Option(help="Wait until the target owns nothing and runs nothing."),
    ] = True,
    limit: Limit = "10m",
) -> None:
    """Give a target no new work and move its keys to the others."""
    wait_limit = limit if wait else datetime.timedelta()
    sessions.run(
        context,
        lambda session: draining.drain_target(session, target, undo, wait_limit),
    )


@app.command(epilog=EXIT_CODES)
def move(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    target: Annotated[str, typer.Argument(help="Target that gets the keys.")],
    shard: Annotated[int | None, typer.Option(help="Number of the shard.")] = None,
    key: Annotated[str | None, typer.Option(help="A single key.")] = None,
) -> None:
    """Move one shard or one single key to a target, and wait until it is done."""
    subject = moving.Subject(service, shard, key)
    sessions.run(context, lambda session: moving.move(session, subject, target))


@app.command(epilog=EXIT_CODES)
def dump(
    context: typer.Context,
    entry: Annotated[str, typer.Argument(help="Name of the entry process.")],
) -> None:
    """Show the whole state of one entry process."""
    sessions.run(context, lambda session: listings.show_dump(session, entry))


@app.command(epilog=EXIT_CODES)
def explain(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    key: Annotated[str, typer.Argument(help="The key as requests hold it.")],
) -> None:
    """Show where a key goes and why: shard, override, owner, gate, term, liveness."""
    sessions.run(context, lambda session: explaining.explain_key(session, service, key))


@app.command(name="declare-dead", epilog=EXIT_CODES)
def declare_dead(
    context: typer.Context,
    target: Annotated[str, typer.Argument(help="Name of the target.")],
    yes: Annotated[
        str | None,
        typer.Option(
            metavar="NAME",
            help="Name of the target again, for scripts; asks otherwise.",
        ),
    ] = None,
) -> None:
    """State that a target will not come back, so that its keys move at once.

    If the target or its gate still runs, a request may run twice. The command shows
    what is known of both first.
    """
    sessions.run(context, lambda session: declaring.declare_dead(session, target, yes))


@quarantine_app.command(name="list", epilog=EXIT_CODES)
def list_quarantined(context: typer.Context, service: ServiceFilter = None) -> None:
    """List the requests that are not run again because they crashed targets."""
    sessions.run(context, lambda session: quarantine.list_quarantined(session, service))


@quarantine_app.command(name="release", epilog=EXIT_CODES)
def release(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    fingerprint: Annotated[str, typer.Argument(help="Fingerprint from the list.")],
) -> None:
    """Let a quarantined request run again."""
    sessions.run(
        context, lambda session: quarantine.release(session, service, fingerprint)
    )


def run() -> None:
    """Run the command line.

    An unhandled exception may occur after a write. The exit code is therefore that of
    an unknown outcome; Python's default of 1 would mean that the command was refused.
    """
    try:
        app()
    except Exception:
        traceback.print_exc()
        sys.exit(failures.UNKNOWN)


if __name__ == "__main__":
    run()
