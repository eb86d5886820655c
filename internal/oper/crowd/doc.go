// Package crowd holds tests of both programs, each as one process on loopback addresses, under clients
// that nobody controls. They check that the process lives, that its memory and open descriptors stay
// below the limits that it was given, and that ordinary requests are answered.
package crowd
