// Package gwstore stores the durable state of a voter of a replicated log: the hard
// state and the entries in a log file of checksummed records, and the latest snapshot
// in a file of its own. Save returns only after everything is synced.
//
// All files are in one folder of an FS. OSFS is the file system of the operating
// system. MemoryFS is a fake for tests that loses unsynced data in a simulated crash.
//
// # Files
//
// "snapshot" holds one record with the latest snapshot and is replaced by an atomic
// rename. "log-N", with N as 16 hexadecimal digits, holds a first record that names the
// snapshot that it follows, and one record with the changes of each later Save. A save
// with a snapshot writes a new log file, whose first record also holds the hard state and
// all entries after the snapshot, and removes the older file.
//
// A crash during a save leaves at most one incomplete record at the end of the log
// file, which Open truncates. A damaged record that is followed by intact ones had been
// synced, so Open refuses the file. Damage to the last synced record cannot be
// distinguished from an incomplete record.
package gwstore
