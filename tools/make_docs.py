"""Generate docs/events.md and docs/SETTINGS.md from the code."""

import pathlib

from bilberryramp.settings import reference
from bilberryramp.telemetry import events

DOCS_DIR = pathlib.Path(__file__).parent.parent / "docs"


def main() -> None:
    (DOCS_DIR / "events.md").write_text(events.render_reference(), "utf-8")
    (DOCS_DIR / "SETTINGS.md").write_text(reference.render(), "utf-8")


if __name__ == "__main__":
    main()
