/** The version of the product, as in package.json. */
export const VERSION = "0.1.0";
