//go:build wholerun

package whole

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mangostile/internal/oper/load"

	"github.com/shoenig/test/must"
)

// importedRows is the number of adapters at the size that the design must handle.
const importedRows = 26000

// TestManyRows imports 26,000 rows in one edit and measures the CPU share and memory of
// idle entry VMs afterwards.
func TestManyRows(t *testing.T) {
	d := startDeployment(t, "guild", tokens["guild"])
	path := filepath.Join(d.dir, "many.csv")
	var rows strings.Builder
	rows.WriteString("adapter,base,versions,callers,weight\n")
	for i := range importedRows {
		fmt.Fprintf(&rows, "plait-%05d,straw-7b,v1:1,village-app,%d\n", i, 1+i%9)
	}
	must.NoError(t, os.WriteFile(path, []byte(rows.String()), 0o644))
	program, err := binary()
	must.NoError(t, err)
	var admins []string
	for _, id := range d.entryIDs() {
		admins = append(admins, d.admins[id])
	}
	start := time.Now()
	out, err := exec.Command(program, "table", "import", "--entry", strings.Join(admins, ","), "--token", operatorToken, "--overwrite", path).CombinedOutput()
	took := time.Since(start)
	must.NoError(t, err, must.Sprint(string(out)))
	d.waitRevision(d.revision("entry-1"))
	must.MapLen(t, importedRows+3000, d.column("entry-7", "weight"))
	sleep(t.Context(), idleTime)
	before := d.cpuTimes()
	sleep(t.Context(), idleTime)
	after := d.cpuTimes()
	result := &runRecord{
		Name: "guild_many_rows", Example: "guild", Description: "29,000 adapters, no requests; 26,000 of them imported in one go.",
		Report: &load.Report{Date: time.Now().UTC().Format(time.RFC3339), Adapters: importedRows + 3000},
		Notes:  []string{fmt.Sprintf("the import of %d rows took %d ms until it was in force on 7 entry VMs: %s", importedRows, took.Milliseconds(), lastLine(string(out)))},
	}
	for _, id := range d.entryIDs() {
		d.recordUsage(id)
		result.MemoryMB = max(result.MemoryMB, float64(d.usage[id].MaxMemory)/(1<<20))
		result.CPUShare = max(result.CPUShare, (after[id]-before[id]).Seconds()/idleTime.Seconds())
	}
	t.Logf("%v, cpu share %.4f, memory %.1f MB", result.Notes, result.CPUShare, result.MemoryMB)
	if *recordDir != "" {
		must.NoError(t, writeRecord(*recordDir, result))
	}
}

// idleTime is long enough for the memory used by the import to be released.
const idleTime = 10 * time.Second

func (d *deployment) cpuTimes() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	times := map[string]time.Duration{}
	for id, p := range d.processes {
		times[id], _ = processUsage(p.cmd.Process.Pid)
	}
	return times
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
