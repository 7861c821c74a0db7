"""Prints the command that preprocesses one source file, from the build's compilation database."""

import json
import shlex
import sys
from pathlib import Path


def main() -> int:
    build, source = Path(sys.argv[1]), Path(sys.argv[2]).resolve()
    for entry in json.loads((build / "compile_commands.json").read_text()):
        if Path(entry["file"]).resolve() != source:
            continue
        words = shlex.split(entry["command"])
        if Path(words[0]).name == "ccache":
            words = words[1:]
        output = words.index("-o")
        words = words[:output] + words[output + 2 :]
        words = [word for word in words if word != "-c"] + ["-E", "-P"]
        print(f"cd {shlex.quote(entry['directory'])} && {shlex.join(words)}")
        return 0
    return 1


if __name__ == "__main__":
    sys.exit(main())
