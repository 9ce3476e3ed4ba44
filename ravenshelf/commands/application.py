"""Application that combines the commands of all groups."""

from ravenshelf.commands import controllers, distribution, store
from ravenshelf.commands.general import app

app.add_typer(controllers.app, name="controllers")
app.add_typer(distribution.app, name="distribution")
app.add_typer(store.app, name="store")
