//! Small stand-ins for the systems that hickorydoor talks to.
