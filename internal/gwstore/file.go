package gwstore

import "path"

// WriteFile atomically replaces a file in folder. The content is durable when it returns.
func WriteFile(fs FS, folder, name string, content []byte) error {
	if err := ReplaceFile(fs, folder, name, content); err != nil {
		return err
	}
	return fs.SyncFolder(folder)
}

// ReplaceFile atomically replaces a file in folder. The content is durable once the folder has been
// synced, as Reload of a Log in the folder does.
func ReplaceFile(fs FS, folder, name string, content []byte) error {
	temporary, final := path.Join(folder, name+".new"), path.Join(folder, name)
	f, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return fs.Rename(temporary, final)
}
