"""The README's Python example runs unchanged."""

import re
from pathlib import Path

README = Path(__file__).resolve().parent.parent / "README.md"


def test_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert len(blocks) == 1 and "assert" in blocks[0]
    exec(compile(blocks[0], "README.md", "exec"), {})
