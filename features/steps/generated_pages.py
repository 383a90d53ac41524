"""Compare generated pages with the committed ones."""

from pathlib import Path

from baobabwharf_testkit.generated_pages import generate_pages
from behave import then, when
from behave.runner import Context


class GeneratedPagesSubject:
    """Hold freshly generated pages."""

    def __init__(self) -> None:
        self.generated = generate_pages()

    def stale(self) -> list[Path]:
        return [
            path
            for path, text in self.generated.items()
            if path.read_text() != text
        ]


@when('the generated pages are made again')
def regenerate(context: Context) -> None:
    context.subject = GeneratedPagesSubject()


@then('they equal the committed pages')
def compare(context: Context) -> None:
    stale = context.subject.stale()
    assert not stale, f'Stale pages: {stale}'
