"""The command ``check-settings``, shared by the daemon and the operator's client."""

from trestlestall.daemon import environment, settings, status


def check_settings(
    file: str, program: str, env: environment.Environment
) -> status.ExitStatus:
    """Report that the settings file is valid, or list all of its problems."""
    loaded = settings.load(file)
    if isinstance(loaded, list):
        return refuse_settings(loaded, file, program, env)
    env.stdout.write(f"{file}: valid, for the {loaded.role} {loaded.name}\n")
    return status.ExitStatus.OK


def refuse_settings(
    problems: list[settings.Problem],
    file: str,
    program: str,
    env: environment.Environment,
) -> status.ExitStatus:
    """Write each problem on a line of its own; return the status for bad settings."""
    for problem in problems:
        env.stderr.write(f"{program}: {file}: {problem}\n")
    return status.ExitStatus.BAD_SETTINGS
