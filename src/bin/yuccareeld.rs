//! Entry instance of yuccareel.

fn main() {}
