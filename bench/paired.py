#!/usr/bin/env python3
"""paired.py -- plays builds in turn on the same days, and compares them

Usage: bench/paired.py --bench PROGRAM --sites FILE,... [options] BASE BUILD...

BASE and each BUILD are folders that hold a checkout of the project. Each day
is played with each seed on all of them; the differences of each BUILD to BASE
are printed by site and by part of the mark, with their standard error over the
pairs. A broken rule and a failed day are listed. Entries of the journal are
left in the folders that were played.

  --days NAME,...    default: the five standard days with trouble
  --seeds N,...      default: 21,22,23; 0 plays the day's own seed
  --jobs N           plays at a time, default 3
  --no-cpu           the processor time isn't counted
  --why TEXT         a line for the journal
  --save FILE        all plays as JSON, one a line
"""

import argparse
import concurrent.futures
import json
import math
import os
import subprocess
import sys
import tempfile

DAYS = "trouble-1,trouble-2,trouble-3,scale-1,scale-2"
PLAY_TIMEOUT_S = 900


def play(options, folder, site, day, seed):
    """Plays one day. Returns its parts by name, each in credit, and "worth"."""
    handle, report = tempfile.mkstemp(suffix=".json")
    os.close(handle)
    command = [options.bench, "run", site, day, "--report", report,
               "--why", options.why]
    if seed != "0":
        command += ["--seed", seed]
    if options.no_cpu:
        command.append("--no-cpu")
    try:
        done = subprocess.run(command, cwd=folder, capture_output=True,
                              text=True, timeout=PLAY_TIMEOUT_S, check=False)
        with open(report, encoding="utf-8") as file:
            text = file.read()
        if not text:
            return {"error": (done.stdout + done.stderr)[-400:]}
        figures = json.loads(text)
    except subprocess.TimeoutExpired:
        return {"error": f"not over after {PLAY_TIMEOUT_S} s"}
    finally:
        os.unlink(report)
    parts = {"worth": figures["G"]}
    for name, weight, value in figures["parts"]:
        parts[name] = weight * value
    parts["prices"] = -sum(row[2] for row in figures["prices"])
    return {"parts": parts, "rules": figures.get("rules") or {},
            "fault": figures.get("fault")}


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    square = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    return mean, math.sqrt(square / len(values))


def print_site(site, base, build, plays, keys):
    """Prints the comparison of one build with the base on one site."""
    pairs = []
    for key in keys:
        first, second = plays[(base,) + key], plays[(build,) + key]
        for folder, one in ((base, first), (build, second)):
            if "error" in one:
                print(f"  {folder} {key[1]} seed {key[2]}: {one['error']}")
            elif one["rules"] or one["fault"]:
                print(f"  {folder} {key[1]} seed {key[2]}: broken "
                      f"{one['rules']} {one['fault'] or ''}")
        if "error" not in first and "error" not in second:
            pairs.append((key, first["parts"], second["parts"]))
    if not pairs:
        print(f"{os.path.basename(site)} {build}: no pair")
        return
    means = [sum(pair[side]["worth"] for pair in pairs) / len(pairs)
             for side in (1, 2)]
    print(f"{os.path.basename(site)}: {build} against {base}, {len(pairs)} "
          f"pairs: worth {means[0]:.4f} -> {means[1]:.4f}")
    for name in pairs[0][1]:
        mean, error = mean_and_error(
            [pair[2].get(name, 0) - pair[1].get(name, 0) for pair in pairs])
        print(f"  {name:14} {mean:+.4f} +- {error:.4f}")
    for day in dict.fromkeys(pair[0][1] for pair in pairs):
        print(f"  {day:10} " + ", ".join(
            f"{pair[1]['worth']:.3f} -> {pair[2]['worth']:.3f}"
            for pair in pairs if pair[0][1] == day))


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", required=True)
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", default="21,22,23")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--why", default="paired plays")
    parser.add_argument("--save")
    parser.add_argument("base")
    parser.add_argument("builds", nargs="*")
    options = parser.parse_args()
    folders = [options.base] + options.builds
    sites = options.sites.split(",")
    keys = [(site, day, seed) for site in sites
            for seed in options.seeds.split(",")
            for day in options.days.split(",")]
    # Builds come before the plays, since two plays must not build at once.
    for folder in folders:
        subprocess.run([options.bench, "build"], cwd=folder, check=True,
                       stdout=subprocess.DEVNULL)
    plays = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = {(folder,) + key: pool.submit(play, options, folder, *key)
                   for key in keys for folder in folders}
        for number, (key, future) in enumerate(futures.items(), 1):
            plays[key] = future.result()
            print(f"\r{number} of {len(futures)}", end="", file=sys.stderr)
    print(file=sys.stderr)
    if options.save:
        with open(options.save, "a", encoding="utf-8") as file:
            for key, one in plays.items():
                file.write(json.dumps({"play": key, **one}) + "\n")
    for site in sites:
        chosen = [key for key in keys if key[0] == site]
        if not options.builds:
            values = [plays[(options.base,) + key] for key in chosen]
            worths = [one["parts"]["worth"] for one in values
                      if "error" not in one]
            mean, error = mean_and_error(worths)
            print(f"{os.path.basename(site)}: worth {mean:.4f} +- "
                  f"{error:.4f}, {len(worths)} plays of {len(values)}")
        for build in options.builds:
            print_site(site, options.base, build, plays, chosen)


if __name__ == "__main__":
    main()
