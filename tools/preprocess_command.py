"""Prints the command that preprocesses a source file, based on the compilation database."""

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
        # Drop the compiler launcher: cmake -E env NAME=VALUE... ccache.
        launcher = [i for i, word in enumerate(words) if Path(word).name == "ccache"]
        words = words[launcher[0] + 1 :] if launcher else words
        output = words.index("-o")
        words = words[:output] + words[output + 2 :]
        words = [word for word in words if word != "-c"] + ["-E", "-P"]
        print(f"cd {shlex.quote(entry['directory'])} && {shlex.join(words)}")
        return 0
    return 1


if __name__ == "__main__":
    sys.exit(main())
