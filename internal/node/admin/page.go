package admin

import (
	"embed"
	"path"
	"strings"

	"github.com/valyala/fasthttp"
)

// pageFiles holds the files of the page at /admin/. They need no build step.
//
//go:embed page
var pageFiles embed.FS

// Paths of the page. Its files are served without a token, because they are static and
// contain no data of the deployment.
const (
	pagePath       = "/admin/"
	pageFilePrefix = "/admin/page/"
	pageIndex      = "index.html"
)

// contentPolicy restricts the page to resources and requests of its own entry VM.
const contentPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; form-action 'none'; frame-ancestors 'none'; base-uri 'none'"

var pageTypes = map[string]string{
	".css":  "text/css; charset=utf-8",
	".html": "text/html; charset=utf-8",
	".js":   "text/javascript; charset=utf-8",
}

// servePage answers with a file of the page. It reports false, without answering, if the
// path names no such file.
func servePage(ctx *fasthttp.RequestCtx) bool {
	name := pageIndex
	if requested := string(ctx.Path()); requested != pagePath {
		var ok bool
		if name, ok = strings.CutPrefix(requested, pageFilePrefix); !ok {
			return false
		}
	}
	text, err := pageFiles.ReadFile("page/" + name)
	if err != nil {
		return false
	}
	header := &ctx.Response.Header
	header.Set("Content-Security-Policy", contentPolicy)
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Referrer-Policy", "no-referrer")
	header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetContentType(pageTypes[path.Ext(name)])
	ctx.SetBody(text)
	return true
}
