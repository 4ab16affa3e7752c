"""The commands of ``fordstair``. ``ExitCode`` holds the exit codes; ``--json`` prints one JSON object."""

from __future__ import annotations

import json
import os
import sys
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from fordstair.configuration.errors import ConfigError, ConfigurationProblem, InvalidOperatorFileError
from fordstair.console.connection import ConsoleConnectionError, send_command

DEFAULT_FILE = Path("deploy/appliance.toml")


class ExitCode(IntEnum):
    """The exit codes of the commands.

    Attributes:
        FAILED: The program cannot be reached, or a run failed.
        UNUSABLE: The file or the command line cannot be used.
        NOT_DONE: The program has refused an override: a conflict, an unknown name, or not possible now.
        UNCONFIRMED: The override disturbs service and was not confirmed.
    """

    OK = 0
    FAILED = 1
    UNUSABLE = 2
    NOT_DONE = 3
    UNCONFIRMED = 4


# Help text of the command that prints a table of a running program, by the table's name.
TABLE_DESCRIPTIONS = {
    "status": "Print the program's state.",
    "engines": "List the engines as the decision module sees them.",
    "requests": "List the oldest open requests.",
    "members": "List the coordinators of the fleet as this one sees them.",
    "shares": "List this coordinator's shares of the fleet's budgets; on the leader, those of all members.",
    "counters": "Print the program's counters.",
}

app = typer.Typer(
    name="fordstair",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A coordinator for small sites: start it, watch it, adjust it.",
    epilog="Exit codes: 0 done; 1 program not reached, or a failed run; 2 file or command line that "
    "cannot be used; 3 adjustment refused by the program; 4 adjustment not confirmed.",
)

FileArgument = Annotated[Path, typer.Argument(help="The operator's file.", metavar="FILE")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
YesOption = Annotated[
    bool, typer.Option("--yes", "-y", help="Do not ask for confirmation if service is disturbed.")
]
SocketOption = Annotated[
    str,
    typer.Option(
        "--socket",
        "-s",
        envvar="FORDSTAIR_SOCKET",
        metavar="PATH",
        help="The console's socket; default: the one that --file names.",
    ),
]
FileOption = Annotated[
    Path,
    typer.Option(
        "--file",
        "-f",
        envvar="FORDSTAIR_FILE",
        metavar="FILE",
        help="The operator's file that names the socket.",
    ),
]


def exit_with(code: ExitCode, *lines: str) -> NoReturn:
    """Print lines on standard error and exit."""
    for line in lines:
        typer.echo(line, err=True)
    raise typer.Exit(code)


def fail_unusable(error: ConfigError) -> NoReturn:
    """Print one line per problem on standard error and exit."""
    exit_with(ExitCode.UNUSABLE, *str(error).splitlines())


def console_socket(socket: str, file: Path) -> str:
    """Return the path of the console's socket: ``socket``, or else the one that the operator's file names."""
    if socket:
        return socket
    from fordstair.configuration.operator_file import load_operator_file

    try:
        console = load_operator_file(str(file), require_site=False).console
    except ConfigError as error:
        exit_with(
            ExitCode.UNUSABLE, *str(error).splitlines(), "name a socket with --socket, or a file with --file"
        )
    if console is None:
        exit_with(
            ExitCode.UNUSABLE,
            f"{file}: console: is missing; without this table the program has no console socket",
        )
    return console.socket_path


@app.command()
def serve(file: FileArgument) -> None:
    """Run an appliance until SIGTERM, Ctrl-C or drain."""
    from fordstair.cli.serve import run

    try:
        run(str(file))
    except ConfigError as error:
        fail_unusable(error)


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check an operator's file and list all problems."""
    from fordstair.configuration.operator_file import (
        coordinator_config,
        operator_options,
        read_operator_file,
    )

    problems: tuple[ConfigurationProblem, ...] = ()
    try:
        checked = read_operator_file(str(file), require_site=True)
        coordinator_config(checked)
        operator_options(checked)
    except InvalidOperatorFileError as invalid:
        problems = invalid.problems
    except (ConfigError, ValueError) as error:
        problems = (ConfigurationProblem("", str(error)),)
    if as_json:
        typer.echo(
            json.dumps(
                {
                    "file": str(file),
                    "faults": [{"path": each.path, "reason": each.reason} for each in problems],
                }
            )
        )
    if problems:
        exit_with(ExitCode.UNUSABLE, *(() if as_json else (problem.line(str(file)) for problem in problems)))
    if not as_json:
        typer.echo(
            f"{file}: no fault: {len(checked.engines)} engines, {len(checked.classes)} classes, "
            f"{len(checked.teams)} teams"
        )


@app.command()
def schema() -> None:
    """Print the JSON Schema of the operator's file."""
    from fordstair.configuration.operator_schema import json_schema

    typer.echo(json.dumps(json_schema(), indent=2))


@app.command()
def demo(
    headless: Annotated[bool, typer.Option(help="Run without the console and print the figures.")] = False,
    seconds: Annotated[float, typer.Option(min=1.0, max=86_400.0, help="Duration of a headless run.")] = 10.0,
    engines: Annotated[int, typer.Option(min=1, max=16, help="Number of stand-in engines.")] = 4,
    rate: Annotated[float, typer.Option(min=0.1, max=2_000.0, help="Requests a second.")] = 40.0,
    seed: Annotated[int, typer.Option(help="Seed of the traffic and the faults.")] = 1,
    trouble: Annotated[
        bool, typer.Option(help="Inject faults: engines that go silent and return cold, or slow down.")
    ] = True,
    as_json: JsonOption = False,
) -> None:
    """Run an appliance with stand-in engines and light traffic, and open the console on it."""
    from fordstair.cli.demo import Demo
    from fordstair.lab.coordinator_process import NotStartedError

    try:
        demo_run = Demo(engines, rate, seed, trouble)
        figures = (
            demo_run.run_headless(seconds, progress=not as_json) if headless else demo_run.run_with_console()
        )
    except NotStartedError as error:
        exit_with(ExitCode.FAILED, f"demo: {error}")
    if headless and as_json:
        typer.echo(json.dumps(figures))
    elif headless:
        for name, value in figures.items():
            typer.echo(f"{name:16} {value}")
    if figures["lost"] or figures["answered_twice"]:
        raise typer.Exit(ExitCode.FAILED)


@app.command()
def traffic(
    out: Annotated[Path, typer.Argument(metavar="OUT.jsonl")],
    seconds: Annotated[float, typer.Option(min=1.0, max=86_400.0)] = 300.0,
    rate: Annotated[float, typer.Option(min=0.1, max=10_000.0, help="Requests a second.")] = 40.0,
    seed: int = 1,
) -> None:
    """Write the traffic of a billing close, one request per line, without the text of statements."""
    from fordstair.lab.billing_close import TrafficShape, generate, write_arrivals

    middle = seconds / 2.0
    arrivals = generate(TrafficShape(seconds, rate, doubled=((middle, middle + min(20.0, middle)),)), seed)
    try:
        write_arrivals(out, arrivals)
    except OSError as error:
        exit_with(ExitCode.FAILED, f"{out}: {error.strerror}")
    typer.echo(f"{out}: {len(arrivals)} requests")


@app.command()
def replay(
    traffic: Annotated[Path, typer.Argument(metavar="TRAFFIC.jsonl")],
    against: Annotated[Path, typer.Option("--against", metavar="FILE", help="The operator's file.")],
    seed: int = 1,
    as_json: JsonOption = False,
) -> None:
    """Play traffic against a file's classes, teams and engines in virtual time, with budgets and without."""
    from fordstair.configuration.operator_file import load_operator_file
    from fordstair.lab.replay import compare

    try:
        results = compare(traffic, load_operator_file(str(against), require_site=True), seed)
    except ConfigError as error:
        fail_unusable(error)
    except ValueError as error:
        exit_with(ExitCode.UNUSABLE, str(error))
    except OSError as error:
        exit_with(ExitCode.UNUSABLE, f"{traffic}: {error.strerror}")
    if as_json:
        return typer.echo(json.dumps(results))
    for name, figures in results.items():
        typer.echo(f"{name}: " + "  ".join(f"{key} {value}" for key, value in figures.items()))


@app.command()
def console(
    socket: SocketOption = "",
    file: FileOption = DEFAULT_FILE,
    once: Annotated[bool, typer.Option("--once", help="Print the console once and exit.")] = False,
    svg: Annotated[
        str,
        typer.Option(
            "--svg",
            metavar="FILE",
            hidden=True,
            help="Save a picture of the console after a short wait and exit.",
        ),
    ] = "",
) -> None:
    """Watch and adjust a running program in the terminal."""
    path = console_socket(socket, file)
    try:
        if once:
            from fordstair.console.print_once import print_once

            return print_once(path)
        from fordstair.console.app import ConsoleApp

        # If the program cannot be reached, this fails with one line before the full-screen console opens.
        send_command(path, "status")
        if svg:
            from fordstair.console.print_once import save_svg

            return save_svg(path, svg)
        ConsoleApp(path).run()
    except ConsoleConnectionError as error:
        exit_with(ExitCode.FAILED, f"fordstair: {error}")


def _add_table_command(table: str, description: str) -> None:
    """Add a command that prints one table of a running program."""

    def command(
        socket: SocketOption = "", file: FileOption = DEFAULT_FILE, as_json: JsonOption = False
    ) -> None:
        print_table(table, socket, file, as_json)

    app.command(table, help=description)(command)


for _table, _description in TABLE_DESCRIPTIONS.items():
    _add_table_command(_table, _description)


@app.command("set-aside")
def set_aside(
    engine: Annotated[str, typer.Argument(metavar="ENGINE")],
    socket: SocketOption = "",
    file: FileOption = DEFAULT_FILE,
    yes: YesOption = False,
    as_json: JsonOption = False,
) -> None:
    """Send an engine no new requests; running ones continue. In force until restart or bring-back."""
    send_override("set-aside", socket, file, yes, as_json, engine=engine)


@app.command("bring-back")
def bring_back(
    engine: Annotated[str, typer.Argument(metavar="ENGINE")],
    socket: SocketOption = "",
    file: FileOption = DEFAULT_FILE,
    yes: YesOption = False,
    as_json: JsonOption = False,
) -> None:
    """Send an engine requests again."""
    send_override("bring-back", socket, file, yes, as_json, engine=engine)


@app.command()
def limit(
    class_name: Annotated[str, typer.Argument(metavar="CLASS")],
    threads: Annotated[str, typer.Argument(metavar="THREADS", help="A number, or 'none'.")],
    socket: SocketOption = "",
    file: FileOption = DEFAULT_FILE,
    yes: YesOption = False,
    as_json: JsonOption = False,
) -> None:
    """Limit the threads that a class may have in flight at engines. In force until restart."""
    if threads != "none" and not (threads.isascii() and threads.isdecimal() and len(threads) < 10):
        exit_with(ExitCode.UNUSABLE, f"THREADS: {threads!r} is neither a number nor 'none'")
    max_threads = None if threads == "none" else int(threads)
    send_override("limit", socket, file, yes, as_json, **{"class": class_name, "threads": max_threads})


@app.command()
def drain(
    socket: SocketOption = "",
    file: FileOption = DEFAULT_FILE,
    yes: YesOption = False,
    as_json: JsonOption = False,
) -> None:
    """Let the program accept no more requests, answer the open ones and exit."""
    send_override("drain", socket, file, yes, as_json)


def print_table(table: str, socket: str, file: Path, as_json: bool) -> None:
    """Request a table from a running program and print it."""
    try:
        answer = send_command(console_socket(socket, file), table)
    except ConsoleConnectionError as error:
        exit_with(ExitCode.FAILED, f"fordstair: {error}")
    if as_json:
        return typer.echo(json.dumps(answer))
    from fordstair.cli.tables import print_pairs, print_rows

    content = answer[table]
    if isinstance(content, dict):
        print_pairs(content)
    else:
        print_rows(table, content, answer["at_ms"])


def send_override(command: str, socket: str, file: Path, yes: bool, as_json: bool, **fields: Any) -> None:
    """Send an override to a running program; ask the operator for confirmation if it disturbs service."""
    path = console_socket(socket, file)
    try:
        answer = send_command(path, command, confirmed=yes, **fields)
        if answer.get("verdict") == "confirm" and not as_json and sys.stdin.isatty():
            if not typer.confirm(f"{command}: {answer['why']}. Do it?"):
                exit_with(ExitCode.UNCONFIRMED, "not confirmed; nothing was changed")
            answer = send_command(path, command, confirmed=True, **fields)
    except ConsoleConnectionError as error:
        exit_with(ExitCode.FAILED, f"fordstair: {error}")
    verdict = str(answer.get("verdict"))
    if as_json:
        typer.echo(json.dumps(answer))
    else:
        why = f": {answer['why']}" if answer.get("why") else ""
        typer.echo(f"{command}: {verdict}{why}", err=verdict not in ("done", "already"))
    if verdict == "confirm":
        exit_with(
            ExitCode.UNCONFIRMED,
            *(() if as_json else ("not confirmed; repeat the command with --yes to do it",)),
        )
    if verdict not in ("done", "already"):
        raise typer.Exit(ExitCode.NOT_DONE)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except BrokenPipeError:
        # The reader of standard output has closed the pipe; this keeps the flush at exit from failing too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.FAILED)
