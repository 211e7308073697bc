import { expect } from "chai";
import { ownValue, setOwnValue } from "../lib/own-value.js";

// Guards against inherited members that are taken for entries of a record.
describe("records whose keys come from outside", () => {
    for (const name of Object.getOwnPropertyNames(Object.prototype)) {
        it(`hold '${name}' only once it is set`, () => {
            const record: Record<string, number> = {};
            expect(ownValue(record, name)).to.equal(undefined);
            setOwnValue(record, name, 1);
            setOwnValue(record, name, 2);
            expect(ownValue(record, name)).to.equal(2);
            expect(Object.entries(record)).to.deep.equal([[name, 2]]);
            expect(Object.getPrototypeOf(record)).to.equal(Object.prototype);
        });
    }
});
