import { CHECKED_SPECIFICATIONS } from "./checkedSpecifications.js";
import { formatExploration } from "./formatExploration.js";

let failures = 0;
for (const specification of CHECKED_SPECIFICATIONS) {
    const exploration = specification.explore();
    process.stdout.write(`${formatExploration(exploration).join("\n")}\n`);
    failures += exploration.violations.length;
    for (const defect of specification.defects) {
        const found = defect.explore().violations;
        process.stdout.write(
            `  defect ${defect.name}: ${found.length > 0 ? `found (${found[0]?.invariant ?? ""})` : "NOT FOUND"}\n`,
        );
        failures += found.length > 0 ? 0 : 1;
    }
}
process.exitCode = failures > 0 ? 1 : 0;
