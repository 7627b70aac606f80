"""``make matrix``: run the fault matrix on real processes and write docs/matrix.md."""

import argparse
import queue
import signal
import sys
import threading
from collections import Counter
from pathlib import Path

import msgspec

from standins.site import Site
from tests.matrix._cells import Cell, Outcome, Verdict, all_cells, run_cell
from tests.matrix._report import write_page
from tests.matrix._steps import DirtySiteError
from tests.matrix._world import World, a_site

PAGE = Path("docs/matrix.md")


def run_cells(
    cells: "queue.Queue[Cell]", outcomes: list[Outcome], folder: Path | None, relayed: bool
) -> None:
    """Run cells on one site after another; a new site is started after a failed cell."""
    while not cells.empty():
        with Site(a_site(relayed=relayed)) as site:
            world = World(site)
            world.bring_up()
            _run_on_site(world, cells, outcomes, folder)
            world.close()


def _run_on_site(
    world: World, cells: "queue.Queue[Cell]", outcomes: list[Outcome], folder: Path | None
) -> None:
    while True:
        try:
            cell = cells.get_nowait()
        except queue.Empty:
            return
        try:
            outcome = run_cell(world, cell)
        except DirtySiteError:
            cells.put(cell)
            return
        outcomes.append(outcome)
        print(f"{outcome.verdict.value:8} {outcome.took_s:5.1f} s  {cell.name}", flush=True)
        for reason in outcome.reasons:
            print(f"           {reason}", flush=True)
        if outcome.verdict is Verdict.FAILED:
            if folder is not None:
                _keep_logs(world.site, folder / cell.name.replace("/", "-").replace(" ", "_"))
            return


def _run_all(
    cells: "queue.Queue[Cell]",
    outcomes: list[Outcome],
    sites: int,
    folder: Path | None,
    relayed: bool,
) -> None:
    # On a signal, no new cell is started, so that the sites can still end their processes.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: cells.queue.clear())
    arguments = (cells, outcomes, folder, relayed)
    threads = [threading.Thread(target=run_cells, args=arguments) for _ in range(sites)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _merged(path: Path, outcomes: list[Outcome]) -> list[Outcome]:
    """Merge ``outcomes`` into those of the file, replacing cells in both; return all of them."""
    earlier = msgspec.json.decode(path.read_bytes(), type=list[Outcome]) if path.exists() else []
    by_cell = {(o.step, o.injection): o for o in (*earlier, *outcomes)}
    path.write_bytes(msgspec.json.encode(list(by_cell.values())))
    return list(by_cell.values())


def _keep_logs(site: Site, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in site.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())


def main() -> int:
    """Run the selected cells; return 0 if none failed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--only", default="", help="run the cells whose name contains this text")
    parser.add_argument("--sites", type=int, default=2, help="number of sites to run in parallel")
    parser.add_argument("--page", type=Path, default=PAGE, help="page to write, or - for none")
    parser.add_argument("--logs", type=Path, help="folder for the logs of failed cells")
    parser.add_argument(
        "--outcomes", type=Path, help="file of earlier outcomes to merge the new ones into"
    )
    parser.add_argument("--note", default="", help="note to add to the page")
    arguments = parser.parse_args()
    chosen = [cell for cell in all_cells() if arguments.only in cell.name]
    cells: queue.Queue[Cell] = queue.Queue()
    outcomes: list[Outcome] = []
    for relayed in (False, True):
        for cell in chosen:
            if cell.injection.relayed is relayed:
                cells.put(cell)
        _run_all(cells, outcomes, arguments.sites, arguments.logs, relayed)
    if arguments.outcomes:
        outcomes = _merged(arguments.outcomes, outcomes)
    counts = Counter(outcome.verdict for outcome in outcomes)
    counts[Verdict.NOT_RUN] += max(0, len(chosen) - len(outcomes))
    print(", ".join(f"{counts[verdict]} {verdict.value}" for verdict in Verdict))
    if str(arguments.page) != "-":
        write_page(arguments.page, outcomes, arguments.note)
    return 1 if counts[Verdict.FAILED] else 0


if __name__ == "__main__":
    sys.exit(main())
