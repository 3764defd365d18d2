"""The command ``check-settings``, the same in both binaries."""

from trestlestall.daemon import environment, settings, status


def check_settings(
    file: str, program: str, env: environment.Environment
) -> status.ExitStatus:
    """Say whether the file is right, or list all of its problems."""
    loaded = settings.load(file)
    if isinstance(loaded, list):
        return refuse_settings(loaded, file, program, env)
    env.stdout.write(f"{file}: right, for the {loaded.role} {loaded.name}\n")
    return status.ExitStatus.OK


def refuse_settings(
    problems: list[settings.Problem],
    file: str,
    program: str,
    env: environment.Environment,
) -> status.ExitStatus:
    """Write each problem on a line of its own."""
    for problem in problems:
        env.stderr.write(f"{program}: {file}: {problem}\n")
    return status.ExitStatus.BAD_SETTINGS
