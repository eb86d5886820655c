package admin

import (
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

func getPage(path string) (*fasthttp.RequestCtx, bool) {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(path)
	return &ctx, servePage(&ctx)
}

func TestServePage(t *testing.T) {
	for _, tc := range []struct {
		name        string
		path        string
		contentType string
	}{
		{"index", "/admin/", "text/html; charset=utf-8"},
		{"style", "/admin/page/style.css", "text/css; charset=utf-8"},
		{"script", "/admin/page/main.js", "text/javascript; charset=utf-8"},
		{"no such file", "/admin/page/other.js", ""},
		{"outside", "/admin/page/../page.go", ""},
		{"directory", "/admin/page/", ""},
		{"API", "/admin/table", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, served := getPage(tc.path)
			must.Eq(t, tc.contentType != "", served)
			if served {
				must.Eq(t, tc.contentType, string(ctx.Response.Header.ContentType()))
				must.StrContains(t, string(ctx.Response.Header.Peek("Content-Security-Policy")), "default-src 'none'")
			}
		})
	}
}

// TestPageNamesOnlyItsOwnFiles checks that each file and each element ID that the page's
// files refer to exists, and that no script parses text as HTML.
func TestPageNamesOnlyItsOwnFiles(t *testing.T) {
	index, _ := getPage("/admin/")
	html := string(index.Response.Body())
	files, err := pageFiles.ReadDir("page")
	must.NoError(t, err)
	reference := regexp.MustCompile(`(?:from "\.|(?:href|src)="/admin/page)/([a-z_.]+)"`)
	elementID := regexp.MustCompile(`byID\("([a-z-]+)"\)`)
	for _, file := range files {
		text, err := pageFiles.ReadFile("page/" + file.Name())
		must.NoError(t, err)
		for _, found := range reference.FindAllStringSubmatch(string(text), -1) {
			_, served := getPage("/admin/page/" + found[1])
			must.True(t, served, must.Sprintf("%s names %s", file.Name(), found[1]))
		}
		for _, found := range elementID.FindAllStringSubmatch(string(text), -1) {
			must.StrContains(t, html, `id="`+found[1]+`"`, must.Sprint(file.Name()))
		}
		must.False(t, strings.Contains(string(text), "innerHTML"), must.Sprint(file.Name()))
	}
}
