#!/usr/bin/env python3
"""Draws goodput by tier for each strategy and scenario. Usage: plot.py POLICY.csv OUT.svg"""
import csv
import sys

COLOURS = {"poppyway": "#1b6ca8", "round robin": "#b0b0b0", "least reported load": "#d99058",
           "two random choices": "#7aa874", "prefix hash": "#b57edc"}
WIDTH, ROW, LEFT, TOP = 960, 14, 330, 50


def main():
    with open(sys.argv[1]) as file:
        rows = list(csv.DictReader(file))
    groups = {}
    for row in rows:
        groups.setdefault((row["deployment"], row["scenario"]), []).append(row)
    height = TOP + sum(len(g) * ROW + 16 for g in groups.values()) + 20
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
           'font-family="sans-serif" font-size="11">',
           f'<text x="10" y="18" font-size="14">Goodput of tier 0, 1 and 2, per cent of what was offered</text>']
    panel = (WIDTH - LEFT - 40) / 3
    for tier in range(3):
        out.append(f'<text x="{LEFT + tier * panel}" y="40">tier {tier}</text>')
    y = TOP
    for (deployment, scenario), group in groups.items():
        out.append(f'<text x="10" y="{y + 10}" font-weight="bold">{deployment}: {scenario}</text>')
        for row in group:
            out.append(f'<text x="{LEFT - 8}" y="{y + 10}" text-anchor="end" fill="#555">{row["strategy"]}</text>')
            for tier in range(3):
                value = float(row[f"tier{tier}"])
                x = LEFT + tier * panel
                out.append(f'<rect x="{x}" y="{y + 1}" width="{value / 100 * (panel - 50):.1f}" height="{ROW - 3}" '
                           f'fill="{COLOURS[row["strategy"]]}"/>')
                out.append(f'<text x="{x + value / 100 * (panel - 50) + 4:.1f}" y="{y + 10}">{value:.1f}</text>')
            y += ROW
        y += 16
    out.append("</svg>")
    open(sys.argv[2], "w").write("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
