/** Remembering what was last made of a text, for texts that are read again and again and seldom change. */

/** Makes something of a text, and makes it again only when the text is another than the last one. */
export const lastResult = <T>(make: (text: string) => T): ((text: string) => T) => {
  let last: { readonly text: string; readonly result: T } | undefined;
  return (text) => {
    if (last?.text !== text) last = { text, result: make(text) };
    return last.result;
  };
};
