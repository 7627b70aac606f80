"""Loading the settings of a process from a file."""

from pathlib import Path
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.settings._decode_errors import path_and_message
from lentilrill.settings._process import EntrySettings, ProcessSettings
from lentilrill.settings._process_checks import problems_of, problems_of_entry

__all__ = ["load_settings"]

S = TypeVar("S", bound=ProcessSettings | EntrySettings)


def load_settings(path: Path, kind: type[S]) -> Result[S, Fault]:
    """Read settings of ``kind`` from the JSON file at ``path``.

    :return: the settings, or a fault whose one-line reason names the path of each invalid key.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        return _invalid(path, error.strerror or str(error))
    except msgspec.ValidationError as error:
        key_path, message = path_and_message(error)
        return _invalid(path, f"{key_path}: {message}" if key_path else message)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _invalid(path, f"broken JSON: {error}")
    if isinstance(settings, EntrySettings):
        problems = problems_of_entry(settings)
    else:
        problems = problems_of(settings)
    return _invalid(path, "; ".join(problems)) if problems else Success(settings)


def _invalid(path: Path, reason: str) -> Result[S, Fault]:
    line = " ".join(reason.split())
    return Failure(Fault("settings.load", str(path), FaultKind.INVALID, line))
