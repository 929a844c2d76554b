// Prints the failed checks and scenarios and the final line of scripts/test.sh; exits with 1 on an unexpected failure.
import { existsSync, readFileSync } from "node:fs";

const KNOWN_RED = "KNOWN-RED.txt";
const CHECKS = ".work/checks.txt";
const SCENARIOS = ".work/cucumber.json";

/** Reads the names of the tests that KNOWN-RED.txt lists. */
function readKnownRed() {
    const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, "utf8") : "";
    return new Set(
        text.split("\n").filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()),
    );
}

function readChecks() {
    const lines = existsSync(CHECKS) ? readFileSync(CHECKS, "utf8").trim().split("\n") : [];
    return lines.map(line => ({ name: line.split(" ")[0], passed: line.endsWith(" passed") }));
}

function readScenarios() {
    if (!existsSync(SCENARIOS)) {
        return [{ name: "features did not run", passed: false }];
    }
    const features = JSON.parse(readFileSync(SCENARIOS, "utf8"));
    return features.flatMap(feature =>
        feature.elements.map(element => ({
            name: `${feature.name} / ${element.name}`,
            passed: element.steps.every(step => step.result.status === "passed"),
        }))
    );
}

const knownRed = readKnownRed();
const scenarios = readScenarios();
if (scenarios.length === 0) {
    scenarios.push({ name: "no scenario ran", passed: false });
}
const results = [...readChecks(), ...scenarios];
const failed = results.filter(result => !result.passed);
const expected = failed.filter(result => knownRed.has(result.name));
const unexpected = failed.filter(result => !knownRed.has(result.name));
expected.forEach(result => console.log(`known red: ${result.name}`));
unexpected.forEach(result => console.log(`failed: ${result.name}`));
console.log(`${results.length - failed.length} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length === 0 ? 0 : 1;
